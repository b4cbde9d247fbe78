"""Statuses that callers take for the promise that a request was not run, and never will be."""

from __future__ import annotations

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
