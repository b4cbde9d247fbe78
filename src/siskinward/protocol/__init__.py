"""Typed messages and their msgpack and HTTP forms."""

from __future__ import annotations
