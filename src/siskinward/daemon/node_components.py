"""Creates the components of a node and connects them."""

from __future__ import annotations

import os
import random
from typing import TYPE_CHECKING
from typing import Any

from attrs import define

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import SlotLedger
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.grants import messages as grant_messages
from siskinward.coordination.ownership import MESSAGES as OWNERSHIP_MESSAGES
from siskinward.coordination.quarantine import Quarantine
from siskinward.coordination.quarantine import QuarantineSettings
from siskinward.coordination.quarantine import messages as quarantine_messages
from siskinward.coordination.retries import RetrySettings
from siskinward.coordination.routing import RoutingSettings
from siskinward.coordination.routing import TargetPicker
from siskinward.coordination.shares import ISSUER_MESSAGES
from siskinward.coordination.shares import POOL_MESSAGES
from siskinward.coordination.shares import SharePool
from siskinward.coordination.shares import ShareSettings
from siskinward.coordination.tickets import TicketRegistry
from siskinward.coordination.tickets import TicketSettings
from siskinward.coordination.tickets import messages as ticket_messages
from siskinward.daemon.account_limiter import AccountLimiter
from siskinward.daemon.authority import Authority
from siskinward.daemon.cluster import Cluster
from siskinward.daemon.component_router import ComponentRouter
from siskinward.daemon.dispatcher import Dispatcher
from siskinward.daemon.effect_runner import EffectRunner
from siskinward.daemon.forwarder import Forwarder
from siskinward.daemon.local_executor import LocalExecutor
from siskinward.daemon.metrics import NodeMetrics
from siskinward.daemon.quarantine_controller import QuarantineController
from siskinward.daemon.retry_controller import RetryController
from siskinward.daemon.ticket_service import TicketService
from siskinward.protocol.registry import create_codec
from siskinward.state.identifiers import IncarnationId
from siskinward.transport.peer_hub import PeerHub
from siskinward.transport.peer_link import PeerSettings
from siskinward.transport.platform_client import PlatformClient
from siskinward.transport.tls import create_peer_tls

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.state.errors import StepError
    from siskinward.state.settings import NodeSettings
    from siskinward.transport.tls import PeerTls

INCARNATION_SIZE_BYTES = 8
QUARANTINE_SETTINGS = QuarantineSettings(hold_unproven_s=0.0)


@define
class NodeComponents:
    """All components that a node drives."""

    own: VmIdentity
    metrics: NodeMetrics
    platform: PlatformClient
    hub: PeerHub
    router: ComponentRouter
    cluster: Cluster
    authority: Authority
    share_pool: SharePool
    account_limiter: AccountLimiter
    ticket_service: TicketService
    quarantine: QuarantineController
    picker: TargetPicker
    local_executor: LocalExecutor
    dispatcher: Dispatcher
    forwarder: Forwarder
    random: random.Random


def create_components(
    settings: NodeSettings,
    on_message: Callable[[Any, VmIdentity], Awaitable[None]],
    on_error: Callable[[StepError], None],
    now_s: float,
    random_bytes: Callable[[int], bytes] = os.urandom,
) -> NodeComponents:
    """Create the components of one process, under a new incarnation."""
    incarnation = IncarnationId(random_bytes(INCARNATION_SIZE_BYTES).hex())
    own = VmIdentity(settings.node.vm, settings.node.failure_domain, incarnation)
    secret = settings.peers.shared_secret.encode()
    metrics = NodeMetrics()
    platform = PlatformClient(settings.platform)
    peers = PeerSettings(own, secret, _peer_tls(settings))
    hub = PeerHub(peers, create_codec(), on_message, on_error, metrics.count_traffic)
    router = ComponentRouter(EffectRunner(hub, platform))
    ledger = SlotLedger(AdmissionSettings())
    authority = Authority(own, ledger, now_s)
    share_pool = SharePool(ShareSettings(), own)
    account_limiter = AccountLimiter(share_pool, router)
    ticket_service = TicketService(own, TicketRegistry(TicketSettings(), own, secret), router)
    source = random.Random(random_bytes(INCARNATION_SIZE_BYTES))
    picker = TargetPicker(RoutingSettings(), source)
    quarantine = QuarantineController(own, Quarantine(QUARANTINE_SETTINGS, own), router)
    local_executor = LocalExecutor(
        AdmissionSettings(), own.failure_domain, ledger, authority.ownership, picker, quarantine
    )
    dispatcher = Dispatcher(
        own.vm, local_executor, RetryController(RetrySettings(), source), metrics
    )
    forwarder = Forwarder(own, hub, dispatcher.run_forwarded)
    dispatcher.forwarder = forwarder
    cluster = Cluster(own, settings.node, hub, router, now_s)
    _register_components(router, authority, account_limiter, ticket_service, quarantine)
    return NodeComponents(
        own=own,
        metrics=metrics,
        platform=platform,
        hub=hub,
        router=router,
        cluster=cluster,
        authority=authority,
        share_pool=share_pool,
        account_limiter=account_limiter,
        ticket_service=ticket_service,
        quarantine=quarantine,
        picker=picker,
        local_executor=local_executor,
        dispatcher=dispatcher,
        forwarder=forwarder,
        random=source,
    )


def _register_components(
    router: ComponentRouter,
    authority: Authority,
    account_limiter: AccountLimiter,
    ticket_service: TicketService,
    quarantine: QuarantineController,
) -> None:
    router.register(authority, grant_messages.MESSAGES)
    router.register(authority.issuer, ISSUER_MESSAGES, has_timer=False)
    router.register(authority.ownership, OWNERSHIP_MESSAGES, has_timer=False)
    router.register(account_limiter, POOL_MESSAGES)
    router.register(ticket_service, ticket_messages.MESSAGES)
    router.register(quarantine, quarantine_messages.MESSAGES)


def _peer_tls(settings: NodeSettings) -> PeerTls | None:
    peers = settings.peers
    if peers.tls_certificate_path is None or peers.tls_key_path is None:
        return None
    assert peers.tls_ca_path is not None
    return create_peer_tls(peers.tls_certificate_path, peers.tls_key_path, peers.tls_ca_path)
