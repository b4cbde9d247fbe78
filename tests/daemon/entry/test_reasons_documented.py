"""Every reason, send outcome and log kind of the entry process is in docs/OPERATIONS.md."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from siskinward.daemon.entry.refusals import STATUS_BY_REASON
from siskinward.daemon.entry.refusals import Reason
from siskinward.daemon.entry.refusals import refuse
from siskinward.daemon.entry.sender import SendFailure

ROOT = Path(__file__).parents[3]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
ENTRY = ROOT / "src" / "siskinward" / "daemon" / "entry"
LOG_CALL = re.compile(r"_log\.write\(\s*\"([a-z-]+)\"( if is_lost else \"([a-z-]+)\")?")


def log_kinds() -> set[str]:
    text = "".join(path.read_text(encoding="utf-8") for path in ENTRY.glob("*.py"))
    return {kind for match in LOG_CALL.findall(text) for kind in (match[0], match[2]) if kind}


@pytest.mark.parametrize("reason", list(Reason))
def test_reason_is_documented_with_its_status(reason: Reason) -> None:
    assert f"| `{reason.value}` | {STATUS_BY_REASON[reason]} |" in PAGE


@pytest.mark.parametrize("failure", list(SendFailure))
def test_send_outcome_is_documented(failure: SendFailure) -> None:
    assert f"`{failure.value}`" in PAGE


def test_every_log_kind_is_documented() -> None:
    kinds = log_kinds()
    assert len(kinds) > 15
    assert not {kind for kind in kinds if f"`{kind}`" not in PAGE}


def test_refusal_states_retry_after_in_fractional_seconds() -> None:
    response = refuse(Reason.NO_CAPACITY, 0.25)
    assert response.header(b"retry-after") == b"0.250"
    assert response.status == 503
