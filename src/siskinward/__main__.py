"""Runs the command line application as ``python -m siskinward``."""

from __future__ import annotations

from siskinward.console.application import main

if __name__ == "__main__":
    main()
