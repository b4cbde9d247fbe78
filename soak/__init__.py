"""Randomized faults against real entry processes on loopback, with the promises checked."""

from __future__ import annotations
