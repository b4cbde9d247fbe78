"""Streams and datagrams between VMs, HTTP servers and clients, connection pools, logging."""

from __future__ import annotations
