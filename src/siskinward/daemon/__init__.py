"""The process on an entry VM: connects transport, protocol, coordination and state."""

from __future__ import annotations
