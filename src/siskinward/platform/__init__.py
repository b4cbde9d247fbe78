"""Adapter to the users' platform: its settings file, its store, its headers and its calls."""

from __future__ import annotations
