"""Adapter that the entry process uses to reach the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.platform._control_requests import decode_lookup
from siskinward.platform._control_requests import encode_lookup_answer
from siskinward.platform._control_requests import is_readiness_probe
from siskinward.platform._headers import HEADERS
from siskinward.platform._operator import decode_operator_row
from siskinward.platform._revisions import revision_of
from siskinward.platform._settings import SettingsFile
from siskinward.platform._store import StoreClient
from siskinward.platform._targets import decode_target

if TYPE_CHECKING:
    from pathlib import Path

    from siskinward.coordination.steering.row import Row
    from siskinward.coordination.steering.row import RowRevision
    from siskinward.coordination.steering.row import Unreadable
    from siskinward.daemon.entry.ports import Evacuation
    from siskinward.daemon.entry.ports import LookupRequest
    from siskinward.state.serving import EntrySettings
    from siskinward.state.serving import ServingConfiguration
    from siskinward.state.serving import TargetRecord
    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse


class PlatformAdapter:
    """Implements ``siskinward.daemon.entry.ports.Platform``."""

    headers = HEADERS

    def open_settings(self, path: Path | None) -> SettingsFile:
        """Return the settings file of a VM."""
        return SettingsFile(path)

    def create_store(self, settings: EntrySettings) -> StoreClient:
        """Return a client of the store."""
        return StoreClient(settings.store)

    def decode_operator_row(self, row: Row) -> ServingConfiguration | Evacuation | None:
        """Decode a row of the operator's table."""
        return decode_operator_row(row)

    def decode_target(self, row: Row) -> TargetRecord:
        """Decode a target's status row."""
        return decode_target(row.key, row.value or b"")

    def revision_of(self, row: Row) -> RowRevision | Unreadable | None:
        """Return a configuration's version, or a target's start and heartbeat count."""
        return revision_of(row)

    def decode_lookup(self, request: HttpRequest) -> LookupRequest | None:
        """Decode a caller's look-up; None for any other request."""
        return decode_lookup(request)

    def encode_lookup_answer(self, addresses: list[str], lifetime_s: float) -> HttpResponse:
        """Encode the addresses that a caller may use."""
        return encode_lookup_answer(addresses, lifetime_s)

    def is_readiness_probe(self, request: HttpRequest) -> bool:
        """Return whether a request is the platform's readiness probe."""
        return is_readiness_probe(request)
