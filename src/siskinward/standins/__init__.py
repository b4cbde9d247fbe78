"""Small stand-ins for the platform, targets and callers."""

from __future__ import annotations
