"""Membership: heartbeats inside a failure domain, digests between relays of different ones."""

from __future__ import annotations

from siskinward.coordination.membership._membership import Membership
from siskinward.coordination.membership._peers import Member
from siskinward.coordination.membership._settings import MembershipSettings
from siskinward.coordination.membership.messages import VmAddress

__all__ = ["Member", "Membership", "MembershipSettings", "VmAddress"]
