"""Encoding of reports: round trips, and malformed bytes of a peer that must not raise."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.routing import ServiceLoad
from siskinward.coordination.summaries._packing import pack_reports
from siskinward.coordination.summaries._packing import unpack_reports
from siskinward.coordination.summaries.reports import DomainSummary
from siskinward.coordination.summaries.reports import OwnerReport
from siskinward.coordination.summaries.reports import Reports
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName

DOMAINS = 20
VMS_PER_DOMAIN = 30
CONTROL_BYTES_PER_S = 14_000
CHILDREN = 2

counts = st.integers(0, 1000)
names = st.text("abc-", min_size=1, max_size=8)
loads = st.lists(
    st.builds(
        ServiceLoad,
        names.map(ServiceName),
        counts,
        counts,
        counts,
        st.integers(0, 10**7).map(lambda us: us / 10**6),
    ),
    max_size=3,
).map(tuple)
owners = st.builds(OwnerReport, names.map(VmName), names.map(IncarnationId), counts, loads)
domains = st.builds(DomainSummary, names.map(DomainName), names.map(VmName), counts, counts, loads)


@given(st.lists(owners, max_size=3), st.lists(domains, max_size=3))
def test_packing_gives_back_what_went_in(
    owner_reports: list[OwnerReport], summaries: list[DomainSummary]
) -> None:
    reports = Reports(tuple(owner_reports), tuple(summaries))
    assert unpack_reports(pack_reports(reports)) == reports


@given(st.binary(max_size=64))
def test_unpacking_survives_any_bytes(content: bytes) -> None:
    unpack_reports(content)


@pytest.mark.parametrize(
    "content",
    [
        [],
        [["s"], [["vm", "i", 1, [[1, 1, 1, 1, 1]]]], []],
        [["s"], [["vm", "i", 1, [[-1, 1, 1, 1, 1]]]], []],
        [["s"], [["vm", "i", 1, [[0, -1, 1, 1, 1]]]], []],
        [[7], [["vm", "i", 1, [[0, 1, 1, 1, 1]]]], []],
        [["s"], [["vm", "i", "1", []]], []],
        [["s"], [], [["d", "h", 1, 1]]],
        [["s"], 7, []],
        [None, [["vm", "i", 1, [[0, 1, 1, 1, 1]]]], []],
    ],
)
def test_unpacking_refuses_malformed_rows(content: object) -> None:
    assert unpack_reports(msgpack.packb(content)) is None


def test_a_bulletin_fits_the_control_budget_at_the_target_size() -> None:
    services = ("listings", "bookings", "archive")
    load = tuple(ServiceLoad(ServiceName(name), 12, 11, 40, 0.0512345) for name in services)
    reports = Reports(
        tuple(
            OwnerReport(VmName(f"domain-13-entry-{n}"), IncarnationId("0" * 16), 40_000, load)
            for n in range(VMS_PER_DOMAIN)
        ),
        tuple(
            DomainSummary(DomainName(f"domain-{n}"), VmName(f"domain-{n}-entry-9"), 9, 40_000, load)
            for n in range(DOMAINS - 1)
        ),
    )
    assert CHILDREN * len(pack_reports(reports)) < CONTROL_BYTES_PER_S
