"""The process on an entry VM of a deployment whose store names targets and configuration."""

from __future__ import annotations
