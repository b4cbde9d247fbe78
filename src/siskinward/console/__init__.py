"""Command line application."""

from __future__ import annotations
