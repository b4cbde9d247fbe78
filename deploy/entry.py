"""Starts an entry VM from a checkout."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from siskinward.platform.entry import main  # noqa: E402

if __name__ == "__main__":
    main()
