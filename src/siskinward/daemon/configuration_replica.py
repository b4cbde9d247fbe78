"""Keeps this VM's configuration up to date, from the platform or from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.freshness import Isolated
from siskinward.coordination.publishing import CONFIGURATION_ROW
from siskinward.coordination.state_replica import StateReplica
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.coordination.version_messages import Adopted
from siskinward.coordination.version_messages import FetchObject
from siskinward.coordination.version_messages import ObjectFailed
from siskinward.coordination.version_messages import ObjectFetched
from siskinward.daemon.serving_state import create_serving_state
from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import section_delta
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.freshness import Standing
    from siskinward.coordination.membership import Membership
    from siskinward.coordination.platform import ObjectStore
    from siskinward.daemon.part_router import PartRouter
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.configuration import ConfigurationErrors
    from siskinward.state.identifiers import DomainName
    from siskinward.state.objects import Configuration


class ConfigurationReplica:
    """Drives the replica of the configuration and derives what each version means.

    A version that follows one in force is parsed only where the two differ.
    """

    def __init__(
        self,
        own: VmIdentity,
        store: ObjectStore,
        router: PartRouter,
        on_adopted: Callable[[ServingState], Awaitable[None]],
        on_error: Callable[[StepError], None],
        source: Random,
        now_s: float,
        platform_domains: tuple[DomainName, ...] = (),
    ) -> None:
        freshness = FreshnessSettings(platform_domains=frozenset(platform_domains))
        settings = StateReplicaSettings(freshness=freshness)
        self._replica = StateReplica(settings, own, CONFIGURATION_ROW, source, now_s)
        self._store = store
        self._router = router
        self._on_adopted = on_adopted
        self._on_error = on_error
        self._text = ""
        self._configuration: Configuration | None = None
        self._unread_since_s: float | None = None

    def standing(self, now_s: float) -> Standing:
        """Tell whether the version in force can be vouched for; one that was not read cannot."""
        if self._unread_since_s is not None:
            return Isolated(self._unread_since_s)
        return self._replica.standing(now_s)

    def on_membership(
        self, membership: Membership, known: frozenset[DomainName], now_s: float
    ) -> None:
        """Take whom to exchange versions with; ``known`` are all configured failure domains."""
        self._replica.on_membership(membership, known, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Take a message of another VM."""
        return self._replica.on_message(message, sender, now_s)

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Poll the platform and tell the peers when it is due."""
        return self._replica.on_timer(now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> Sequence[Any]:
        """Take the answer to a poll."""
        return self._replica.on_table_answer(answer, now_s)

    async def on_decision(self, decision: Any) -> None:
        """Fetch a content, or put one in force."""
        match decision:
            case FetchObject(content_hash):
                await curio.spawn(self._fetch, content_hash, daemon=True)
            case Adopted(pointer=pointer, content=content):
                await self._adopt(pointer.version, content.decode())

    async def _fetch(self, content_hash: str) -> None:
        result = await self._store.get(content_hash)
        answer: ObjectFetched | ObjectFailed = ObjectFailed(content_hash)
        if result.is_ok():
            answer = ObjectFetched(content_hash, result.ok)
        else:
            self._on_error(result.error)
        now_s = await self._router.clock()
        await self._router.run(self, self._replica.on_object(answer, now_s))

    async def _adopt(self, version: int, text: str) -> None:
        parsed = self._parse(version, text)
        if parsed is None:
            self._unread_since_s = await self._router.clock()
            return
        self._unread_since_s = None
        self._text = text
        self._configuration = parsed
        await self._on_adopted(create_serving_state(version, parsed))

    def _parse(self, version: int, text: str) -> Configuration | None:
        name = f"version {version}"
        if self._configuration is None:
            result = parse_configuration(text, name)
        else:
            delta = section_delta(self._text, text)
            result = apply_delta(self._configuration, delta, name)
        if result.is_ok():
            return result.ok
        self._report(name, result.error)
        return None

    def _report(self, name: str, errors: ConfigurationErrors) -> None:
        self._on_error(StepError("parse configuration", name, str(errors)))
