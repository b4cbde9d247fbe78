"""Starts an entry VM with the platform's settings file."""

from __future__ import annotations

import sys

from siskinward.daemon.entry.process import run_entry
from siskinward.platform._settings import SettingsError
from siskinward.platform.adapter import PlatformAdapter


def main() -> None:
    """Read the settings and run until told to stop."""
    try:
        run_entry(PlatformAdapter())
    except SettingsError as error:
        sys.exit(f"siskinward: {error}; correct the settings file and start again")
