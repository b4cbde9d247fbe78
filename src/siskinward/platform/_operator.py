"""Decodes the operator's rows: the configuration and evacuations of failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.daemon.entry.ports import Evacuation
from siskinward.platform._configuration import decode_configuration
from siskinward.state.identifiers import DomainName

if TYPE_CHECKING:
    from siskinward.coordination.steering.row import Row
    from siskinward.state.serving import ServingConfiguration

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"


def decode_operator_row(row: Row) -> ServingConfiguration | Evacuation | None:
    """Decode a row of ``op``; None for any other kind of row. Raises ``DecodeError``."""
    if row.key.startswith(EVACUATION_PREFIX):
        domain = DomainName(row.key.removeprefix(EVACUATION_PREFIX))
        return Evacuation(domain, row.value is not None)
    if row.key == CONFIGURATION_KEY and row.value is not None:
        return decode_configuration(row.value)
    return None
