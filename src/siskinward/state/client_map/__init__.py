"""Map of client blocks to sites."""

from __future__ import annotations

from siskinward.state.client_map.client_map import BUCKETS
from siskinward.state.client_map.client_map import ClientLocation
from siskinward.state.client_map.client_map import ClientMap
from siskinward.state.client_map.delta import BlockSite
from siskinward.state.client_map.delta import MapDelta
from siskinward.state.client_map.delta import TableDelta

__all__ = ["BUCKETS", "BlockSite", "ClientLocation", "ClientMap", "MapDelta", "TableDelta"]
