"""Distinct types for the names that messages and decisions refer to."""

from __future__ import annotations

from typing import NewType

VmName = NewType("VmName", str)
"""Name of an entry VM, unique within a deployment. A replacement may reuse it."""

IncarnationId = NewType("IncarnationId", str)
"""Random id drawn once per process start; distinguishes a restart from its predecessor."""

DomainName = NewType("DomainName", str)
"""Name of a failure domain."""

RegionName = NewType("RegionName", str)
"""Name of a region."""

AccountName = NewType("AccountName", str)
"""Name of a client account."""

ServiceName = NewType("ServiceName", str)
"""Name of a service."""

TargetName = NewType("TargetName", str)
"""Name of a target."""
