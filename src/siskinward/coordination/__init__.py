"""Decisions shared by the VMs: limits, membership, grants, retries. Performs no I/O."""

from __future__ import annotations
