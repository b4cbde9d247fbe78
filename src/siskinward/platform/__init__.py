"""Adapter to the users' platform: its settings file, store, headers and control requests."""

from __future__ import annotations
