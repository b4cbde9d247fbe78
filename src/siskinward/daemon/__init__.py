"""The entry VM process: wires transport, protocol, coordination and state together."""

from __future__ import annotations
