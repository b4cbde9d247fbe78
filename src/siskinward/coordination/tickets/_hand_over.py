"""Transfers a home role to a peer of the failure domain in parts, at shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.tickets._ticket_record import record_of
from siskinward.coordination.tickets.messages import HandOverNoted
from siskinward.coordination.tickets.messages import HandOverPart

if TYPE_CHECKING:
    from siskinward.coordination.tickets._records import TicketRecords
    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.state.identifiers import IncarnationId


@frozen
class _UnacknowledgedPart:
    part: HandOverPart
    send_at_s: float


class HandOverSender:
    """Sends the parts of home roles until the successor has acknowledged each."""

    def __init__(self, settings: TicketSettings) -> None:
        self._settings = settings
        self._unacknowledged: dict[HandOverNoted, _UnacknowledgedPart] = {}

    @property
    def is_done(self) -> bool:
        """Whether the successor has acknowledged every part."""
        return not self._unacknowledged

    def start(
        self,
        home: VmIdentity,
        successor: VmIdentity,
        records: TicketRecords,
        home_now_s: float,
        now_s: float,
    ) -> list[Effect]:
        """Split the home's records into parts and send them."""
        states = records.records_of_home(home.incarnation)
        rows = [record_of(key.serial, state) for key, state in states]
        size = self._settings.hand_over_records
        chunks = [tuple(rows[at : at + size]) for at in range(0, len(rows), size)] or [()]
        dropped = records.dropped_serial(home.incarnation)
        for index, chunk in enumerate(chunks):
            part = HandOverPart(home, successor, index, len(chunks), home_now_s, dropped, chunk)
            acknowledgement = HandOverNoted(home.incarnation, index)
            self._unacknowledged[acknowledgement] = _UnacknowledgedPart(part, now_s)
        return self.on_timer(now_s)

    def on_part_received(self, message: HandOverNoted) -> None:
        """Stop resending a part that the successor has acknowledged."""
        self._unacknowledged.pop(message, None)

    def on_timer(self, now_s: float) -> list[Effect]:
        """Send or resend the parts that are due."""
        effects: list[Effect] = []
        for acknowledgement, entry in list(self._unacknowledged.items()):
            if entry.send_at_s > now_s:
                continue
            send_at_s = now_s + self._settings.finish_interval_s
            self._unacknowledged[acknowledgement] = _UnacknowledgedPart(entry.part, send_at_s)
            effects.append(Send(entry.part.successor.vm, entry.part))
        return effects


class HandOverReceiver:
    """Collects the parts of home roles; a role is taken over only once all have arrived."""

    def __init__(self) -> None:
        self._parts: dict[IncarnationId, dict[int, HandOverPart]] = {}

    def add(self, message: HandOverPart) -> list[HandOverPart]:
        """Add a part; return all parts once they are complete, else an empty list."""
        incarnation = message.home.incarnation
        parts = self._parts.setdefault(incarnation, {})
        parts[message.part] = message
        if len(parts) < message.parts:
            return []
        del self._parts[incarnation]
        return list(parts.values())
