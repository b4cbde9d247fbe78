"""Decisions of an entry VM: whom to hear, what to admit, where to send, when to try again."""

from __future__ import annotations
