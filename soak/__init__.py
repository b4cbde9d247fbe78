"""Runs real entry processes on loopback under random faults and checks the promises."""

from __future__ import annotations
