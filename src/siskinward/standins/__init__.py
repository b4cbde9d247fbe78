"""Stand-ins for the platform, targets and callers, and a deployment that connects them."""

from __future__ import annotations
