from __future__ import annotations

import pytest

from siskinward.coordination.demand import DemandExchange
from siskinward.coordination.demand import DemandRoute
from siskinward.coordination.demand import DemandSettings
from siskinward.coordination.demand.reports import unpack_demands
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.planner import Cell
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName

LISTINGS = ServiceName("listings")
CELL = Cell("east", 3)
SETTINGS = DemandSettings()
VMS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
HOLDERS = {"a": VmName("a1"), "b": VmName("b1")}


class Net:
    """Four VMs in two failure domains; ``a1`` is the planner."""

    def __init__(self) -> None:
        self.own = {
            name: VmIdentity(VmName(name), DomainName(domain), IncarnationId("i"))
            for name, domain in VMS.items()
        }
        self.exchanges = {name: self._exchange(name) for name in VMS}

    def _exchange(self, name: str) -> DemandExchange:
        route = DemandRoute(HOLDERS[VMS[name]], VmName("a1"))
        return DemandExchange(
            SETTINGS, self.own[name], lambda _: route, lambda _: {LISTINGS: 50.0}, 0.0
        )

    def run(self, now_s: float, names: tuple[str, ...] = ("b2", "b1", "a2", "a1")) -> None:
        for name in names:
            for _ in range(20):
                self.exchanges[name].record_lookup(LISTINGS, CELL)
            for effect in self.exchanges[name].on_timer(now_s):
                assert isinstance(effect, Send)
                receiver = self.exchanges[effect.to]
                receiver.on_message(effect.message, self.own[name], now_s)


def test_planner_gets_the_mean_of_all_vms_after_the_averaging_time() -> None:
    net = Net()
    for number in range(1, SETTINGS.averaged_sums + 1):
        assert net.exchanges["a1"].demands() is None
        net.run(number * SETTINGS.interval_s)
    rate = 20 / SETTINGS.interval_s
    assert net.exchanges["a1"].demands() == {LISTINGS: {CELL: pytest.approx(4 * rate)}}
    capacities = net.exchanges["a1"].domain_capacities()
    assert capacities[DomainName("b")].capacities_per_s == {LISTINGS: 100.0}
    assert net.exchanges["b1"].demands() is None


def test_demand_is_scaled_up_to_the_rate_of_requests() -> None:
    net = Net()
    for number in range(1, SETTINGS.averaged_sums + 1):
        for _ in range(800):
            net.exchanges["b2"].record_request(LISTINGS)
        net.run(number * SETTINGS.interval_s)
    rate = 800 / SETTINGS.interval_s
    assert net.exchanges["a1"].demands() == {LISTINGS: {CELL: pytest.approx(rate)}}


def test_unreachable_domain_keeps_its_demand_and_its_capacity_becomes_outdated() -> None:
    net = Net()
    net.run(SETTINGS.interval_s)
    for number in range(2, SETTINGS.averaged_sums + 2):
        net.run(number * SETTINGS.interval_s, ("a2", "a1"))
    rate = 20 / SETTINGS.interval_s
    assert net.exchanges["a1"].demands() == {LISTINGS: {CELL: pytest.approx(4 * rate)}}
    capacities = net.exchanges["a1"].domain_capacities()
    assert capacities[DomainName("b")].received_s == SETTINGS.interval_s


@pytest.mark.parametrize(
    "content", [b"", b"\xc1", b"\x01", b"\x91\x94\xa1x\x01\x01\x81\xa1s\x91\x01"]
)
def test_malformed_report_is_ignored(content: bytes) -> None:
    assert unpack_demands(content) is None
