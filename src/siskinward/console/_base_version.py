"""The comment that names the version an edited file is based on."""

from __future__ import annotations

import re
from pathlib import Path

BASE_VERSION_PATTERN = r"# based on version ([0-9]{1,9})\s*"


def base_version_comment(version: int) -> str:
    """Return the comment to put on a file's first line."""
    return f"# based on version {version}"


def base_version_of(path: str) -> int | None:
    """Read the version from a file's first line, if it is there."""
    with Path(path).open(encoding="utf-8") as lines:
        found = re.fullmatch(BASE_VERSION_PATTERN, lines.readline())
    return int(found.group(1)) if found else None
