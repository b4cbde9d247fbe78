"""Streams between VMs, HTTP server and client, connection pools."""

from __future__ import annotations
