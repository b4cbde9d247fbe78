"""Map of client blocks to sites."""

from __future__ import annotations

from siskinward.state.client_map.client_map import BUCKET_COUNT
from siskinward.state.client_map.client_map import ClientLocation
from siskinward.state.client_map.client_map import ClientMap
from siskinward.state.client_map.delta import BlockSite
from siskinward.state.client_map.delta import MapDelta
from siskinward.state.client_map.delta import TableDelta

__all__ = ["BUCKET_COUNT", "BlockSite", "ClientLocation", "ClientMap", "MapDelta", "TableDelta"]
