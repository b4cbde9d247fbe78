"""Catching up with the active version by deltas or by the full content."""

from __future__ import annotations

from typing import Any

import attrs
import curio
import msgpack
import pytest
from fakes.memory_platform import Fault
from fakes.memory_platform import MemoryPlatform

from siskinward.coordination.configuration_reader import MAX_DELTAS
from siskinward.coordination.configuration_reader import ConfigurationReader
from siskinward.coordination.configuration_reader import PublishedConfiguration
from siskinward.coordination.platform import Row
from siskinward.coordination.publisher import Publisher
from siskinward.coordination.publisher import PublisherSettings
from siskinward.coordination.publisher import PublishStamp
from siskinward.coordination.publishing import decode_pointer
from siskinward.state.objects import Configuration
from siskinward.state.objects import Region


def numbered(number: int) -> Configuration:
    """Return a configuration of two regions, one of which depends on ``number``."""
    regions = (Region("fixed"), Region("numbered", domain_latency_ms=float(number)))
    return Configuration(regions={region.name: region for region in regions})


def read_newer(platform: MemoryPlatform, held: PublishedConfiguration) -> Any:
    return curio.run(ConfigurationReader(platform, platform).read_newer(held))


async def publish_numbered(platform: MemoryPlatform, first: int, last: int) -> None:
    publisher = Publisher(platform, platform, curio.sleep, PublisherSettings())
    for number in range(first, last + 1):
        current = (await publisher.reader.read_current()).ok
        await publisher.publish(numbered(number), current, PublishStamp(f"id-{number}", 1.0))


@pytest.fixture
def platform() -> MemoryPlatform:
    platform = MemoryPlatform()
    curio.run(publish_numbered, platform, 1, 2)
    return platform


@pytest.fixture
def held(platform: MemoryPlatform) -> PublishedConfiguration:
    """Version 2, which a test follows by later versions."""
    return curio.run(ConfigurationReader(platform, platform).read_version(2)).ok


def test_deltas_suffice_without_the_full_content(
    platform: MemoryPlatform, held: PublishedConfiguration
) -> None:
    curio.run(publish_numbered, platform, 3, 5)
    current = curio.run(ConfigurationReader(platform, platform).read_current()).ok
    del platform.objects[current.pointer.content_hash]
    assert read_newer(platform, held).ok == current


@pytest.mark.parametrize("is_far_behind", [False, True])
def test_full_content_is_fetched_if_deltas_do_not_suffice(
    platform: MemoryPlatform, held: PublishedConfiguration, is_far_behind: bool
) -> None:
    curio.run(publish_numbered, platform, 3, 3 + (MAX_DELTAS if is_far_behind else 0))
    current = curio.run(ConfigurationReader(platform, platform).read_current()).ok
    del platform.objects[current.pointer.delta_hash]
    assert read_newer(platform, held).ok == current


def test_held_version_never_reverts(platform: MemoryPlatform, held: PublishedConfiguration) -> None:
    platform.rows["configuration"] = (9, platform.rows["configuration-history/1"][1])
    assert read_newer(platform, held).ok is held


def test_outage_is_an_error(platform: MemoryPlatform, held: PublishedConfiguration) -> None:
    platform.read_faults.append(Fault.REQUEST_LOST)
    assert read_newer(platform, held).error.step == "read rows"


def test_pointer_of_a_later_release_is_read(held: PublishedConfiguration) -> None:
    fields = {**attrs.asdict(held.pointer), "later_field": 1}
    assert decode_pointer(Row("configuration", 2, msgpack.packb(fields))).ok == held.pointer
