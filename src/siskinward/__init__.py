"""Global traffic steering: coordination parts to embed, with thin daemons."""

from __future__ import annotations

__version__ = "0.1.0"
