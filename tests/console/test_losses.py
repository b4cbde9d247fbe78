"""``siskinward losses`` names why each request of a log was late, refused or failed."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from click.testing import CliRunner

from siskinward.console.application import main
from siskinward.console.losses import Loss
from siskinward.console.losses import classify

if TYPE_CHECKING:
    from pathlib import Path

WARM_SEND = {"target": "t1", "choice": 0, "load": 1, "slots": 3, "is_warm": True, "outcome": "200"}


def request(**fields: Any) -> dict[str, Any]:
    send = {**WARM_SEND, **fields.pop("send", {})}
    defaults = {
        "id": "r1",
        "status": 200,
        "took_ms": 500.0,
        "objective_ms": 400,
        "waited_ms": 0.0,
        "service": "listings",
        "sends": [send],
    }
    return {**defaults, **fields}


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (request(took_ms=399.0), None),
        (request(took_ms=500.0, objective_ms=None), None),
        (request(status=503, reason="no-capacity"), "refused: no-capacity"),
        (request(status=500), Loss.FAILED.value),
        (request(sends=[WARM_SEND, WARM_SEND]), Loss.SENT_AGAIN.value),
        (request(send={"is_warm": False}), Loss.COLD.value),
        (request(send={"is_warm": False, "choice": 1}), Loss.COLD_SPILL.value),
        (request(waited_ms=100.0), Loss.WAITED.value),
        (request(send={"load": 4}), Loss.QUEUED.value),
        (request(), Loss.SLOW.value),
    ],
)
def test_classify_names_the_cause(fields: dict[str, Any], expected: str | None) -> None:
    assert classify(fields) == expected


def write_log(path: Path, records: list[tuple[str, float, dict[str, Any]]]) -> str:
    lines = [
        json.dumps({"at_s": at_s, "vm": vm, "kind": "request-answered", **fields})
        for vm, at_s, fields in records
    ]
    path.write_text("\n".join(lines))
    return str(path)


def test_losses_counts_by_window_of_each_vms_own_clock(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "vm.log",
        [
            ("vm-1", 1000.0, request(took_ms=100.0)),
            ("vm-1", 1003.0, request()),
            ("vm-2", 7.0, request(took_ms=100.0)),
            ("vm-2", 10.0, request(service="bookings")),
        ],
    )
    by_window = CliRunner().invoke(main, ["losses", log, "--by", "window"])
    assert by_window.exit_code == 0
    assert "from     2 s: 2 of 2 requests" in by_window.output
    assert "from     0 s: 0 of 2 requests" in by_window.output
    by_service = CliRunner().invoke(main, ["losses", log])
    assert "bookings: 1 of 1 requests" in by_service.output
    assert "no VM read" in by_service.output


@pytest.mark.parametrize("kind", ["start", "ready"])
def test_losses_windows_go_on_after_a_restart_with_another_clock(tmp_path: Path, kind: str) -> None:
    restart = {"kind": kind, "incarnation": "b"}
    log = write_log(
        tmp_path / "vm.log",
        [
            ("vm-1", 64_000.0, request(took_ms=100.0)),
            ("vm-1", 64_004.0, request(took_ms=100.0)),
            ("vm-1", 12.0, restart),
            ("vm-1", 14.5, request()),
        ],
    )
    output = CliRunner().invoke(main, ["losses", log, "--by", "window"]).output
    assert "from     6 s: 1 of 1 requests" in output
    assert "-" not in output.partition("Not in")[0]


def test_losses_without_requests_fails(tmp_path: Path) -> None:
    log = write_log(tmp_path / "vm.log", [])
    assert CliRunner().invoke(main, ["losses", log]).exit_code != 0
