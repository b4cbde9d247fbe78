"""Hypothesis strategy that draws small valid configurations."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import Region
from siskinward.state.objects import Vm
from siskinward.state.objects import WhenIsolated

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)
rates = st.floats(min_value=0, allow_nan=False, allow_infinity=False)
weights = st.floats(min_value=0, exclude_min=True, allow_nan=False, allow_infinity=False)
counts = st.integers(min_value=1, max_value=10**9)


@st.composite
def configurations(draw: Any) -> Configuration:
    regions = draw(st.sets(names, min_size=1, max_size=4))
    domains = draw(st.dictionaries(names, st.sampled_from(sorted(regions)), min_size=1, max_size=4))
    domain_names = st.sampled_from(sorted(domains))
    accounts = draw(
        st.lists(
            st.builds(
                ClientAccount,
                name=names,
                rate_per_s=rates,
                burst_tokens=counts,
                weight=weights,
                when_isolated=st.sampled_from(WhenIsolated),
                home_domain=st.none() | domain_names,
            ),
            max_size=4,
        )
    )
    vms = [
        Vm(name, draw(domain_names), str(draw(st.ip_addresses())), 2 * number + 1, 2 * number + 2)
        for number, name in enumerate(sorted(draw(st.sets(names, max_size=4))))
    ]
    return Configuration(
        regions={name: Region(name, draw(rates), draw(rates)) for name in sorted(regions)},
        failure_domains={name: FailureDomain(name, domains[name]) for name in domains},
        vms={vm.name: vm for vm in vms},
        client_accounts={account.name: account for account in accounts},
    )
