"""Publication under races, lost requests and lost answers."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import curio
import pytest
from fakes.memory_platform import Fault
from fakes.memory_platform import MemoryPlatform
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.publisher import MergeConflict
from siskinward.coordination.publisher import MergeInvalid
from siskinward.coordination.publisher import Publisher
from siskinward.coordination.publisher import PublisherSettings
from siskinward.coordination.publisher import PublishStamp
from siskinward.coordination.publishing import Accepted
from siskinward.coordination.publishing import LostRace
from siskinward.coordination.publishing import NotApplied
from siskinward.coordination.publishing import NotSent
from siskinward.coordination.publishing import OutcomeUnknown
from siskinward.state.configuration import diff_configurations
from siskinward.state.configuration import load_configuration
from siskinward.state.identifiers import AccountName
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Configuration

EXAMPLE = load_configuration(Path(__file__).parents[2] / "examples" / "liit.ini").ok
SETTINGS = PublisherSettings()
ALL_LOST = [Fault.REQUEST_LOST] * SETTINGS.send_limit


async def no_pause(_delay_s: float) -> None:
    return None


def publisher_of(platform: MemoryPlatform) -> Publisher:
    return Publisher(platform, platform, no_pause, SETTINGS)


def stamp(publish_id: str) -> PublishStamp:
    return PublishStamp(publish_id, 1000.0)


def with_rate(configuration: Configuration, account: str, rate_per_s: float) -> Configuration:
    changed = attrs.evolve(configuration.client_accounts[account], rate_per_s=rate_per_s)
    accounts = {**configuration.client_accounts, account: changed}
    return attrs.evolve(configuration, client_accounts=accounts)


async def publish_onto_current(platform: MemoryPlatform, configuration: Any, name: str) -> Any:
    publisher = publisher_of(platform)
    current = (await publisher.reader.read_current()).ok
    return await publisher.publish(configuration, current, stamp(name))


def published(platform: MemoryPlatform) -> tuple[int, Configuration]:
    current = curio.run(publisher_of(platform).reader.read_current()).ok
    return current.pointer.version, current.configuration


@pytest.fixture
def platform() -> MemoryPlatform:
    platform = MemoryPlatform()
    curio.run(publish_onto_current(platform, EXAMPLE, "first"))
    return platform


def test_first_publication_is_read_back(platform: MemoryPlatform) -> None:
    assert published(platform) == (1, EXAMPLE)


def test_racing_publication_loses(platform: MemoryPlatform) -> None:
    async def race() -> None:
        await publish_onto_current(platform, with_rate(EXAMPLE, "tallinn-zoo", 1.0), "other")

    platform.before_transact = race
    mine = with_rate(EXAMPLE, "gift-shops", 1.0)
    publication = curio.run(publish_onto_current(platform, mine, "mine"))
    assert isinstance(publication, LostRace)
    assert publication.current.publish_id == "other"
    assert published(platform) == (2, with_rate(EXAMPLE, "tallinn-zoo", 1.0))


@pytest.mark.parametrize("fault", [Fault.REQUEST_LOST, Fault.ANSWER_LOST])
def test_lost_request_or_answer_is_accepted_once(platform: MemoryPlatform, fault: Fault) -> None:
    platform.transact_faults.append(fault)
    publication = curio.run(publish_onto_current(platform, Configuration(), "mine"))
    assert isinstance(publication, Accepted)
    assert published(platform) == (2, Configuration())


def test_lost_answer_is_found_behind_a_later_version(platform: MemoryPlatform) -> None:
    platform.transact_faults.append(Fault.ANSWER_LOST)
    platform.read_faults.extend([Fault.NONE, Fault.REQUEST_LOST])

    async def publish_both() -> Any:
        publisher = publisher_of(platform)
        paused = Publisher(platform, platform, publish_other, SETTINGS)
        return await paused.publish(
            Configuration(), (await publisher.reader.read_current()).ok, stamp("mine")
        )

    async def publish_other(_delay_s: float) -> None:
        await publish_onto_current(platform, EXAMPLE, "other")

    publication = curio.run(publish_both)
    assert publication == Accepted(publication.pointer, is_current=False)
    assert (publication.pointer.version, publication.pointer.publish_id) == (2, "mine")
    assert published(platform) == (3, EXAMPLE)
    assert curio.run(publisher_of(platform).reader.find("mine")).ok == publication.pointer


def test_unsent_publication_differs_from_unknown_outcome(platform: MemoryPlatform) -> None:
    current = curio.run(publisher_of(platform).reader.read_current()).ok
    platform.transact_faults.extend(ALL_LOST)
    arguments = (Configuration(), current, stamp("mine"))
    assert curio.run(publisher_of(platform).publish(*arguments)) == NotApplied()
    platform.transact_faults.extend(ALL_LOST)
    platform.read_faults.extend(ALL_LOST)
    assert isinstance(curio.run(publisher_of(platform).publish(*arguments)), OutcomeUnknown)
    platform.is_out = True
    assert isinstance(curio.run(publisher_of(platform).publish(*arguments)), NotSent)


def test_edits_of_different_objects_merge(platform: MemoryPlatform) -> None:
    async def race() -> None:
        await publish_onto_current(platform, with_rate(EXAMPLE, "tallinn-zoo", 1.0), "other")

    platform.before_transact = race
    changes = diff_configurations(EXAMPLE, with_rate(EXAMPLE, "gift-shops", 2.0))
    publication = curio.run(publisher_of(platform).publish_changes(changes, stamp("mine")))
    assert isinstance(publication, Accepted)
    both = with_rate(with_rate(EXAMPLE, "tallinn-zoo", 1.0), "gift-shops", 2.0)
    assert published(platform) == (3, both)


def test_edits_of_one_object_overlap(platform: MemoryPlatform) -> None:
    async def race() -> None:
        await publish_onto_current(platform, with_rate(EXAMPLE, "gift-shops", 1.0), "other")

    platform.before_transact = race
    changes = diff_configurations(EXAMPLE, with_rate(EXAMPLE, "gift-shops", 2.0))
    publication = curio.run(publisher_of(platform).publish_changes(changes, stamp("mine")))
    assert isinstance(publication, MergeConflict)
    assert publication.changes == changes
    assert published(platform) == (2, with_rate(EXAMPLE, "gift-shops", 1.0))


def test_merge_that_leaves_a_dangling_reference_is_refused(platform: MemoryPlatform) -> None:
    accounts = {n: a for n, a in EXAMPLE.client_accounts.items() if n != "gift-shops"}
    without = attrs.evolve(EXAMPLE, client_accounts=accounts)
    changes = diff_configurations(EXAMPLE, without)
    publication = curio.run(publisher_of(platform).publish_changes(changes, stamp("mine")))
    assert isinstance(publication, MergeInvalid)
    assert [error.object for error in publication.errors.errors] == ["key gift-shops-1"]
    assert published(platform) == (1, EXAMPLE)


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x01", b"\x81\xa1a\x01", b"\x80"])
def test_damaged_pointer_is_an_error(platform: MemoryPlatform, value: bytes) -> None:
    platform.rows["configuration"] = (7, value)
    result = curio.run(publisher_of(platform).reader.read_current())
    assert result.error.step == "decode pointer"


ACCOUNTS = {name: ClientAccount(AccountName(name), 1.0, 1) for name in ("large", "small", "new")}
SMALL = Configuration(client_accounts=ACCOUNTS)
faults = st.lists(st.sampled_from(Fault), max_size=8)


@given(
    st.lists(st.tuples(st.sampled_from(sorted(ACCOUNTS)), st.integers(1, 99)), max_size=6),
    faults,
    faults,
)
def test_reported_outcome_agrees_with_the_history(
    edits: list[tuple[str, int]], transact_faults: list[Fault], read_faults: list[Fault]
) -> None:
    platform = MemoryPlatform()
    curio.run(publish_onto_current(platform, SMALL, "first"))
    platform.transact_faults.extend(transact_faults)
    platform.read_faults.extend(read_faults)
    publications = {}
    for number, (account, rate_per_s) in enumerate(edits):
        changes = diff_configurations(SMALL, with_rate(SMALL, account, rate_per_s))
        publish = publisher_of(platform).publish_changes
        publications[f"edit-{number}"] = curio.run(publish(changes, stamp(f"edit-{number}")))
    platform.transact_faults.clear()
    platform.read_faults.clear()
    history = curio.run(publisher_of(platform).reader.read_history(1000)).ok
    found = [pointer.publish_id for pointer in history]
    assert len(found) == len(set(found))
    assert [pointer.version for pointer in history] == list(range(len(history), 0, -1))
    for publish_id, publication in publications.items():
        if isinstance(publication, Accepted):
            assert publish_id in found
        elif not isinstance(publication, OutcomeUnknown):
            assert publish_id not in found
