"""Entry VMs on the platform stand-ins under configuration changes and faults."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import evolve
from site_calls import call_all
from site_calls import runs_after

from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.rows import UNREAD
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import StoreTable
from siskinward.daemon.entry import replication
from siskinward.daemon.entry.process import SETTINGS_CHECK_S
from siskinward.platform import _store
from siskinward.platform.adapter import PlatformAdapter
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import StoreFault
from siskinward.platform.standins import TargetStandIn
from siskinward.protocol.row_messages import Referral
from siskinward.protocol.row_messages import RowsRequest
from siskinward.transport import peer_rows
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.protocol.row_messages import RowsReply
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
NAMED_DEAD_BOUND_S = 6.0
ROWS_TRANSFER_S = 0.2


def test_new_configuration_is_active_on_every_vm_in_time(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.configuration.spec("routes", "r-listings")["prefix"] = "/moved/"
        await site.publish()
        await curio.sleep(CONFIGURATION_BOUND_S)
        assert set(await call_all(site, 1, "/moved/{}")) == {200}
        assert set(await call_all(site, 1)) == {404}

    run_site(scenario)


def test_withdrawn_key_stops_on_every_vm_in_time(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.configuration.spec("tenants", "account-1")["api_keys"] = ["spare-key-1"]
        await site.publish()
        await curio.sleep(CONFIGURATION_BOUND_S)
        for vm in site.vms:
            assert (await site.call(vm)).status == 401
            assert (await site.call(vm, key="spare-key-1")).status == 200

    run_site(scenario)


def test_older_configuration_is_never_adopted(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.configuration.encode()
        site.configuration.spec("routes", "r-listings")["prefix"] = "/moved/"
        await site.publish()
        await curio.sleep(1.0)
        await site.store.put("op", "config", old)
        await curio.sleep(2.0)
        assert set(await call_all(site, 1, "/moved/{}")) == {200}

    run_site(scenario)


@pytest.mark.parametrize("state", ["draining", None])
def test_leaving_target_gets_no_new_request_in_time(run_site: Any, state: str | None) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = site.targets["listings-bud-a-0"]
        assert set(await call_all(site, 10)) == {200}
        assert leaving.runs
        if state is None:
            await site.store.put("servers", leaving.name, None)
        else:
            await site.report(leaving, state)
        await curio.sleep(DRAIN_BOUND_S)
        since_s = read_clock_s()
        assert set(await call_all(site, 10)) == {200}
        assert runs_after([leaving], since_s) == 0

    run_site(scenario)


def test_evacuated_failure_domain_gets_nothing_until_restored(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        inside = [target for target in site.targets.values() if target.zone == "bud-a"]
        await site.store.put("op", "evacuate/bud-a", b"{}")
        await curio.sleep(EVACUATION_BOUND_S)
        since_s = read_clock_s()
        assert set(await call_all(site, 10)) == {200}
        assert runs_after(inside, since_s) == 0
        await site.store.put("op", "evacuate/bud-a", None)
        await curio.sleep(8.0)
        await call_all(site, 10)
        assert runs_after(inside, since_s) > 0

    run_site(scenario)


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.SILENT])
def test_vms_keep_serving_while_the_store_is_unavailable(run_site: Any, fault: StoreFault) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.store.fault = fault
        await curio.sleep(20.0)
        assert set(await call_all(site, 3)) == {200}
        site.store.fault = StoreFault.NONE
        site.configuration.spec("routes", "r-listings")["prefix"] = "/moved/"
        await site.publish()
        await curio.sleep(4.0)
        assert set(await call_all(site, 1, "/moved/{}")) == {200}

    run_site(scenario)


def test_target_removed_while_the_store_was_silent_may_return(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.store.fault = StoreFault.SILENT
        await curio.sleep(5.0)
        for name in site.targets:
            await site.store.put("servers", name, None)
        site.store.fault = StoreFault.NONE
        await curio.sleep(1.5)
        assert set(await call_all(site, 1)) == {200}
        back = site.targets["listings-bud-a-0"]
        await site.report(back)
        await curio.sleep(4.0)
        since_s = read_clock_s()
        assert set(await call_all(site, 5)) == {200}
        gone = [target for target in site.targets.values() if target is not back]
        assert runs_after(gone, since_s) == 0

    run_site(scenario)


def test_dropped_history_is_recovered_by_a_full_read(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.store.fault = StoreFault.BUSY
        leaving = site.targets["listings-deb-a-1"]
        await site.report(leaving, "draining")
        site.store.drop_history()
        site.store.fault = StoreFault.NONE
        await curio.sleep(DRAIN_BOUND_S)
        since_s = read_clock_s()
        assert set(await call_all(site, 10)) == {200}
        assert runs_after([leaving], since_s) == 0

    run_site(scenario)


def test_partitioned_vm_serves_from_its_last_known_state(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        network.cut_hosts = {site.vms[VM].steering.entry.host}
        await curio.sleep(10.0)
        network.caller_host = site.vms[VM].steering.entry.host
        fleet = site.vms[VM].steering.fleet
        assert fleet.live(read_clock_s()) == [fleet.own]
        assert fleet.presumed_vm_count(read_clock_s()) == 4
        network.cut_hosts = set()
        await curio.sleep(2.0)
        assert len(fleet.live(read_clock_s())) == 4
        assert (await site.call(VM)).status == 200

    run_site(scenario)


def test_few_vms_read_the_store(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await curio.sleep(5.0)
        before = sum(site.store.calls.values())
        await curio.sleep(30.0)
        # Two readers of two tables, once a second each.
        assert sum(site.store.calls.values()) - before <= 2 * 2 * 30 * 1.1

    run_site(scenario, SiteSettings(vms_per_zone=6))


def test_killed_vm_is_no_longer_named(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        dead = site.vms["vm-bud-a-1"]
        address = f"{dead.steering.entry.host}:8206"
        assert address in await site.look_up(VM, "bud-a")
        await dead.kill()
        del site.vms["vm-bud-a-1"]
        await curio.sleep(NAMED_DEAD_BOUND_S)
        for vm in site.vms:
            assert address not in await site.look_up(vm, "bud-a")

    run_site(scenario)


def test_lookup_names_the_callers_region_and_others_if_it_is_lost(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        named = await site.look_up("vm-deb-a-0", "bud-a")
        assert all(address.startswith("10.1.0.") for address in named)
        for name in ("vm-bud-a-0", "vm-bud-a-1"):
            await site.vms.pop(name).kill()
        await curio.sleep(NAMED_DEAD_BOUND_S)
        named = await site.look_up("vm-deb-a-0", "bud-a")
        assert named and all(address.startswith("10.2.0.") for address in named)

    run_site(scenario)


def test_leaving_vm_answers_what_it_has_read(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.work_s = 1.5
        calls = [await curio.spawn(site.call, VM, f"/listings/{i}") for i in range(4)]
        await curio.sleep(0.1)
        leaving = await curio.spawn(site.vms[VM].shut_down)
        statuses = [(await call.join()).status for call in calls]
        assert statuses == [200] * 4
        await leaving.join()
        address = f"{site.vms[VM].steering.entry.host}:8206"
        assert address not in await site.look_up("vm-bud-a-1", "bud-a")

    run_site(scenario)


def test_all_vms_killed_serve_again(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for vm in list(site.vms):
            await site.restart_vm(vm)
        await curio.sleep(2.0)
        assert set(await call_all(site, 3)) == {200}

    run_site(scenario)


def test_address_that_another_target_took_over_runs_nothing_for_the_old_one(
    run_site: Any,
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.targets["listings-bud-a-0"]
        await old.crash()
        successor = TargetStandIn("other", "bookings", old.host, old.port, old.zone)
        await successor.start()
        assert set(await call_all(site, 10)) <= {200, 503}
        await curio.sleep(2.0)
        assert set(await call_all(site, 10)) == {200}
        assert not successor.runs
        await successor.crash()

    run_site(scenario)


def test_cold_target_gets_no_more_than_its_warmup_rate(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        cold = site.targets["listings-bud-a-0"]
        cold.warmup_left_ms = 3000
        await site.report(cold)
        await curio.sleep(0.6)
        since_s = read_clock_s()
        for number in range(40):
            for vm in site.vms:
                await site.call(vm, f"/listings/{number}")
            if read_clock_s() - since_s > 2.0:
                break
        starts = sorted(run.started_s for run in cold.runs if run.started_s >= since_s)
        most = max((sum(s <= t < s + 1.0 for t in starts) for s in starts), default=0)
        assert most <= 4.0 * 1.5 + 5

    run_site(scenario)


def test_target_started_again_under_its_name_is_probed_before_it_is_used(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets["listings-bud-a-0"]
        await target.crash()
        await call_all(site, 10)
        target.warmup_left_ms = 3000
        await target.start()
        await curio.sleep(2.5)
        assert target.probes >= 1
        known = site.vms[VM].steering.targets.get(target.name)  # type: ignore[arg-type]
        assert known is not None
        assert not known.needs_probe
        assert known.is_cold(read_clock_s())

    run_site(scenario)


def test_unreadable_row_is_skipped_and_affects_no_other_target(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for key, value in (("x-1", b"\xff"), ("x-2", b"{}"), ("x-3", b'{"address": 7}')):
            await site.store.put("servers", key, value)
        await curio.sleep(1.0)
        assert set(await call_all(site, 3)) == {200}
        kinds = [line["kind"] for line in site.lines(VM)]
        assert "row-unreadable" in kinds

    run_site(scenario)


def test_change_is_announced_by_its_readers_only(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await curio.sleep(5.0)
        sent = network.datagrams_sent
        await curio.sleep(10.0)
        calm = network.datagrams_sent - sent
        sent = network.datagrams_sent
        for _ in range(10):
            await site.publish()
            await curio.sleep(1.0)
        busy = network.datagrams_sent - sent
        vms = len(site.vms)
        # Two readers announce ten changes to all others. In a broadcast storm, every VM would
        # announce them to every other.
        assert busy - calm <= 2 * 10 * vms

    run_site(scenario, SiteSettings(vms_per_zone=6))


@pytest.mark.parametrize("offset_s", [0.9, 1.1, 1.2, 1.3, 1.5])
def test_target_that_leaves_while_the_readers_are_cut_off_gets_nothing_in_time(
    run_site: Any, offset_s: float
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        readers = [name for name in site.vms if name.startswith("vm-bud-a")]
        network.cut_hosts = {site.vms[name].steering.entry.host for name in readers}
        for name in readers:
            await site.vms.pop(name).kill()
        await curio.sleep(offset_s)
        leaving = site.targets["listings-deb-a-0"]
        await site.store.put("servers", leaving.name, None)
        await curio.sleep(DRAIN_BOUND_S)
        since_s = read_clock_s()
        assert set(await call_all(site, 12)) == {200}
        assert runs_after([leaving], since_s) == 0

    run_site(scenario)


def test_settings_changed_without_a_signal_are_reloaded(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        source = site.settings_sources[VM]
        bounds = evolve(source.settings.bounds, retry_ratio=0.05, quota_slack_requests=3.0)
        source.settings = evolve(source.settings, bounds=bounds)
        await curio.sleep(2 * SETTINGS_CHECK_S)
        steering = site.vms[VM].steering
        assert steering.retries.bounds.retry_ratio == 0.05
        assert steering.issuer.bounds.quota_slack_requests == 3.0
        assert [line for line in site.lines(VM) if line["kind"] == "reload"]
        await site.call(VM)

    run_site(scenario)


def test_change_reaches_every_vm_in_time_over_slow_links(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    encode, send = peer_rows.encode_rows_reply, peer_rows.send_frame
    rows_replies: set[bytes] = set()

    def record_rows(reply: RowsReply, now_s: float) -> bytes:
        data = encode(reply, now_s)
        if not isinstance(reply, Referral):
            rows_replies.add(data)
        return data

    async def send_slowly(sock: Any, data: bytes) -> None:
        if data in rows_replies:
            await curio.sleep(ROWS_TRANSFER_S)
        await send(sock, data)

    monkeypatch.setattr(peer_rows, "encode_rows_reply", record_rows)
    monkeypatch.setattr(peer_rows, "send_frame", send_slowly)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await site.publish()
        await curio.sleep(CONFIGURATION_BOUND_S)
        indexes = [vm.steering.index for vm in site.vms.values()]
        versions = {index.configuration.version for index in indexes if index}
        assert versions == {site.configuration.version}

    run_site(scenario, SiteSettings(vms_per_zone=24))


def test_change_between_two_pages_of_a_table_is_not_missed(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_store, "PAGE_ROWS", 2)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        client = PlatformAdapter().create_store(site.vms[VM].steering.entry)
        first = sorted(site.targets)[0]
        reading = await curio.spawn(client.read_table, StoreTable.TARGETS)
        # The first page is in flight, and the second has not been requested yet.
        await curio.sleep(1.2 * site.store.delay_s)
        await site.report(site.targets[first], "draining")
        snapshot = await reading.join()
        changes = await client.read_changes(StoreTable.TARGETS, snapshot.position, 0.0)
        assert isinstance(changes, Changes)
        rows = (*snapshot.rows, *changes.rows)
        assert any(row.key == first and b"draining" in (row.value or b"") for row in rows)

    run_site(scenario)


def test_vms_with_equal_tables_request_no_rows(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    fetch, requested = replication.fetch_rows, []

    async def record_request(host: str, port: int, request: RowsRequest) -> RowsReply:
        requested.append(request)
        return await fetch(host, port, request)

    monkeypatch.setattr(replication, "fetch_rows", record_request)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        # The restarted VM reads the whole table at a later position than the others, since
        # other tables have changed meanwhile.
        await site.restart_vm(VM)
        await curio.sleep(5.0)
        requested.clear()
        await curio.sleep(5.0)
        assert not requested

    run_site(scenario, SiteSettings(vms_per_zone=6))


def test_heartbeat_without_an_age_confirms_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        own, other = site.vms[VM].steering, site.vms["vm-bud-a-1"].steering
        table = StoreTable.OPERATOR
        await site.publish()
        await curio.sleep(CONFIGURATION_BOUND_S)
        site.store.fault = StoreFault.BUSY
        await curio.sleep(3.0)
        own.tables[table].position = Position()
        confirmed_s = own.tables[table].confirmed_s
        position = other.tables[table].content_position
        heartbeat = Heartbeat(other.fleet.own, 10**6, VmState.READY, {table.value: position})
        await site.vms[VM]._replication.on_heartbeat(heartbeat, read_clock_s())
        await curio.sleep(0.1)
        assert own.tables[table].position >= position
        assert own.tables[table].confirmed_s - confirmed_s < 1.0

    run_site(scenario)


def test_target_removed_soon_after_the_store_is_reached_again_gets_nothing_in_time(
    run_site: Any,
) -> None:
    # A VM that was cut off takes its own failed reads for an outage of the store. Removed entries
    # may return for a while then, counted from when the store is reached again.
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = site.targets["listings-bud-a-0"]
        steering, updates = site.vms[VM].steering, site.vms[VM]._updates
        updates.record_read_failure(read_clock_s())
        copy = steering.tables[StoreTable.TARGETS]
        copy.confirmed_s = read_clock_s() - 5.0
        unchanged = Changes((), copy.position, copy.position)
        updates.apply(StoreTable.TARGETS, unchanged, source="store", now_s=read_clock_s())
        copy.confirmed_s = read_clock_s()
        await curio.sleep(1.2)
        await site.store.put("servers", leaving.name, None)
        await curio.sleep(DRAIN_BOUND_S)
        since_s = read_clock_s()
        for number in range(20):
            assert (await site.call(VM, f"/listings/{number}")).status == 200
        assert runs_after([leaving], since_s) == 0

    run_site(scenario)


def test_fetch_from_a_vm_that_lost_power_leaves_time_to_fetch_from_another(run_site: Any) -> None:
    # The VM that read a change from the store lost power right after it announced it.
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        dead, own = site.vms["vm-bud-a-1"].steering.entry, site.vms[VM].steering.entry
        network.cut_hosts = {dead.host}
        request = RowsRequest(StoreTable.OPERATOR, UNREAD, own.host)
        started_s = read_clock_s()
        with pytest.raises(OSError, match="timed out"):
            await peer_rows.fetch_rows(dead.host, own.peer_port, request)
        assert read_clock_s() - started_s <= CONFIGURATION_BOUND_S / 2

    run_site(scenario)
