"""Steering decisions of an entry VM: live VMs, quotas, admission, placement and retries."""

from __future__ import annotations
