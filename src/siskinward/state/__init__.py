"""Operator objects, checked configuration and versioned state. Performs no I/O."""

from __future__ import annotations
