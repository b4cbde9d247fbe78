"""Starts an entry VM with the platform's settings file."""

from __future__ import annotations

import sys

from siskinward.daemon.entry.process import run_entry
from siskinward.platform._settings import SettingsError
from siskinward.platform.adapter import PlatformAdapter


def main() -> None:
    """Run the entry process until stopped; exit with a message if the settings are invalid."""
    try:
        run_entry(PlatformAdapter())
    except SettingsError as error:
        sys.exit(f"siskinward: {error}; correct the settings file and start again")
