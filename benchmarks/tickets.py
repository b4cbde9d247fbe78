"""Measures the cost of tickets per booking, compared with table writes on the request path."""

from __future__ import annotations

from time import perf_counter
from typing import Any

import msgpack
from attrs import frozen
from cattrs.preconf.msgpack import make_converter

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.events import WriteRow
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import TicketRegistry
from siskinward.coordination.tickets import TicketSettings
from siskinward.coordination.tickets import read_ticket
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

SECRET = b"deployment secret, thirty-two by"
BOOKINGS = 2000
ACCOUNT = AccountName("organists-pecs")
FINGERPRINT = "0123456789abcdef0123456789abcdef"
ANSWER = Answered(201, ((b"content-type", b"application/json"),), b"x" * 300)
TABLE_WRITES_PER_S = 500.0
PLATFORM_RTT_MS = 24.0
US_PER_S = 1e6


@frozen
class Tally:
    """Messages and bytes that one booking sent."""

    messages: int
    messages_before_dispatch: int
    sent_bytes: int


class Fleet:
    """Ticket registries of one failure domain; messages arrive without delay."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.identities = {name: identity(name) for name in names}
        self.registries = {
            name: TicketRegistry(TicketSettings(), one, SECRET)
            for name, one in self.identities.items()
        }
        for registry in self.registries.values():
            registry.on_members(list(self.identities.values()), 0.0)
        self.delivered: list[Any] = []

    def deliver(self, vm: str, steps: list[Any]) -> int:
        """Deliver messages until none are left; return how many were sent before the dispatch."""
        pending = [(vm, step) for step in steps]
        before_dispatch = 0
        while pending:
            sender, step = pending.pop(0)
            if isinstance(step, Dispatch):
                before_dispatch = len(self.delivered)
            if not isinstance(step, Send):
                continue
            self.delivered.append(step.message)
            registry = self.registries[str(step.to)]
            answers = registry.on_message(step.message, self.identities[sender], 0.0)
            pending += [(str(step.to), answer) for answer in answers]
        return before_dispatch

    def book_once(self, number: int, entry: str, ticket: str) -> int:
        """Make one booking; return the number of messages sent before its dispatch."""
        attempt = f"{entry}-{number}"
        steps = self.registries[entry].begin(attempt, ticket, ACCOUNT, FINGERPRINT, 5.0, 0.0)
        before = self.deliver(entry, steps)
        self.deliver(entry, self.registries[entry].report_outcome(attempt, ANSWER, 0.0))
        return before


def identity(name: str) -> VmIdentity:
    """Return a VM identity with names of realistic length."""
    return VmIdentity(VmName(name), DomainName("budapest-1"), IncarnationId(f"{name}-5f1c9a7e2b"))


def measure_booking(entry: str) -> tuple[Tally, float]:
    """Return the messages of a booking at ``entry``, and its time in microseconds in all VMs."""
    fleet = Fleet(("entry-1", "entry-2", "entry-3"))
    tickets = [fleet.registries["entry-1"].issue_ticket(0.0) for _ in range(BOOKINGS + 1)]
    before = fleet.book_once(BOOKINGS, entry, tickets.pop())
    converter = make_converter()
    size = sum(len(msgpack.packb(converter.unstructure(one))) for one in fleet.delivered)
    tally = Tally(len(fleet.delivered), before, size)
    began_s = perf_counter()
    for number, ticket in enumerate(tickets):
        fleet.book_once(number, entry, ticket)
    return tally, (perf_counter() - began_s) / BOOKINGS * US_PER_S


def measure_table() -> tuple[int, float]:
    """Return table writes and microseconds per booking with an idempotency key of the caller."""
    registry = TicketRegistry(TicketSettings(), identity("entry-1"), SECRET)
    writes = 0
    began_s = perf_counter()
    for number in range(BOOKINGS):
        attempt = str(number)
        steps = list(registry.begin(attempt, f"key-{number}", ACCOUNT, FINGERPRINT, 5.0, 0.0))
        while steps:
            step = steps.pop(0)
            assert not isinstance(step, ReadRow)
            if isinstance(step, WriteRow):
                writes += 1
                version = step.expected_version + 1
                done = RowWritten(step.row, step.request_id, WriteOutcome.APPLIED, version)
                steps += registry.on_table_answer(done, 0.0)
            if isinstance(step, Dispatch):
                steps += registry.report_outcome(attempt, ANSWER, 0.0)
    return writes // BOOKINGS, (perf_counter() - began_s) / BOOKINGS * US_PER_S


def measure_text() -> None:
    """Print the time to issue and to check a ticket, and its length."""
    registry = Fleet(("entry-1", "entry-2")).registries["entry-1"]
    began_s = perf_counter()
    texts = [registry.issue_ticket(0.0) for _ in range(BOOKINGS)]
    issued_s = perf_counter()
    for text in texts:
        read_ticket(text, SECRET)
    read_s = perf_counter()
    print(f"mint   {(issued_s - began_s) / BOOKINGS * US_PER_S:6.1f} us")
    print(f"check  {(read_s - issued_s) / BOOKINGS * US_PER_S:6.1f} us")
    print(f"text   {len(texts[-1]):6d} bytes")


def main() -> None:
    """Print the cost of tickets by entry VM, and of table writes for comparison."""
    measure_text()
    writes, table_us = measure_table()
    table_rate = TABLE_WRITES_PER_S / writes
    for entry, role in (("entry-1", "home"), ("entry-2", "copy"), ("entry-3", "another VM")):
        tally, spent_us = measure_booking(entry)
        rate = US_PER_S / spent_us
        print(
            f"entry is {role:10}: {tally.messages} messages, "
            f"{tally.messages_before_dispatch} before dispatch, {tally.sent_bytes} bytes, "
            f"{spent_us:.0f} us in all VMs, "
            f"{rate:.0f} bookings/s a core, {rate / table_rate:.0f} x the table"
        )
    print(
        f"table on the path  : {writes} writes, {PLATFORM_RTT_MS:.0f} ms before dispatch from "
        f"another region, {table_us:.0f} us, {table_rate:.0f} bookings/s for the whole fleet at "
        f"{TABLE_WRITES_PER_S:.0f} writes/s"
    )


if __name__ == "__main__":
    main()
