"""Tokens that one VM issues for an account to all VMs of a large fleet."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from steering_fixtures import account
from steering_fixtures import entry_vm
from steering_fixtures import fleet_of
from steering_fixtures import heartbeat

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenCache
from siskinward.coordination.steering.account_tokens import TokenIssuer
from siskinward.coordination.steering.account_tokens import TokenSettings
from siskinward.state.serving import ServingBounds

BOUNDS = ServingBounds()


def issuers_of(count: int, partition: set[int]) -> list[TokenIssuer]:
    """Return the issuers of a fleet in which ``partition`` is cut off from the other VMs."""
    issuers = []
    for own in range(count):
        fleet = fleet_of(count, own=own, now_s=0.0)
        for other in range(count):
            if (own in partition) == (other in partition):
                fleet.on_heartbeat(heartbeat(entry_vm(other), 2), 100.0)
        issuers.append(TokenIssuer(TokenSettings(), BOUNDS, fleet))
    return issuers


@given(partition=st.sets(st.integers(0, 29), max_size=29), wanted=st.integers(1, 50))
def test_issuers_on_both_sides_of_a_cut_keep_to_the_whole(partition: set[int], wanted: int) -> None:
    policy = account(rate_per_s=40.0, burst_requests=40.0)
    issuers = issuers_of(30, partition)
    issued_s: list[float] = []
    for step in range(40):
        now_s = 10.0 + step * 0.2 if not partition else 100.0 + step * 0.02
        for issuer in issuers:
            selected = issuer.issuer_of(policy.name, now_s)
            number = int(selected.vm.removeprefix("vm-"))
            grant = issuers[number].grant(policy, TokenAsk(1, policy.name, wanted), now_s)
            issued_s += [now_s] * grant.granted
    window_s = BOUNDS.quota_window_s
    allowed = (policy.rate_per_s * window_s + policy.burst_requests) * 1.1 + 20
    for start_s in set(issued_s):
        assert sum(start_s <= at_s < start_s + window_s for at_s in issued_s) <= allowed


def test_issuer_is_the_same_seen_from_every_vm() -> None:
    issuers = issuers_of(30, set())
    issuers = {issuer.issuer_of(account().name, 100.5).vm for issuer in issuers}
    assert len(issuers) == 1


def test_issuer_issues_at_the_accounts_rate() -> None:
    policy = account(rate_per_s=40.0, burst_requests=40.0)
    fleet = fleet_of(30)
    issuer = TokenIssuer(TokenSettings(), BOUNDS, fleet)
    total = 0
    for step in range(1, 101):
        for other in range(30):
            fleet.on_heartbeat(heartbeat(entry_vm(other), step + 1), step / 10)
        total += issuer.grant(policy, TokenAsk(step, policy.name, 50), step / 10).granted
    assert 40.0 * 9.9 <= total <= 40.0 * 10 + 40.0


def test_token_cache_tokens_expire() -> None:
    cache = TokenCache(TokenSettings(token_ttl_s=0.5))
    cache.put(account().name, 2, 1.0)
    assert cache.try_take(account().name, 1.4)
    assert not cache.try_take(account().name, 1.5)
