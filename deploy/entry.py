"""Starts an entry VM from a checkout."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# A SIGHUP during the imports must not end the process; the settings are read after them anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from siskinward.platform.entry import main  # noqa: E402

if __name__ == "__main__":
    main()
