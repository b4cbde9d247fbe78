"""The process of an entry VM that gets configuration and targets from the platform's store."""

from __future__ import annotations
