"""Every test and trace that the documentation names exists."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = ("PROMISES.md", "FAULTS.md")


@pytest.mark.parametrize("page", PAGES)
def test_named_tests_exist(page: str) -> None:
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    named = re.findall(r"`(tests/[\w/]+\.py)::(test_\w+)`", text)
    assert named
    for path, name in named:
        assert f"def {name}(" in (ROOT / path).read_text(encoding="utf-8"), f"{path}::{name}"
    bare = set(re.findall(r"`(test_\w+)`", text))
    sources = "".join(path.read_text(encoding="utf-8") for path in ROOT.glob("tests/**/*.py"))
    assert all(f"def {name}(" in sources for name in bare)


def test_named_traces_exist() -> None:
    text = (ROOT / "docs" / "FAULTS.md").read_text(encoding="utf-8")
    for pattern in set(re.findall(r"`(\*-[\w-]+)`", text)):
        assert len(list((ROOT / "examples" / "traces").glob(f"{pattern}.jsonl"))) == 2, pattern
