"""Lets the run pass over exactly the failing tests that ``KNOWN-RED.txt`` lists.

An entry for a test has a line ``test: <node id>``. A listed test must fail: one that passes fails
the run, and so does an entry that names no test.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red(path: Path) -> frozenset[str]:
    """Return the node ids of the tests that the file lists."""
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    )


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    listed = read_known_red(config.rootpath / FILE_NAME)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=f"listed in {FILE_NAME}", strict=True))
    unknown = _find_unknown(listed, items, config)
    if unknown:
        raise pytest.UsageError(f"{FILE_NAME} lists tests that do not exist: {sorted(unknown)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that ran and failed."""
    failed = terminalreporter.stats.get("xfailed", [])
    if failed:
        terminalreporter.section(f"failing tests that {FILE_NAME} lists")
    for report in failed:
        terminalreporter.line(report.nodeid)


def _find_unknown(
    listed: Iterable[str], items: list[pytest.Item], config: pytest.Config
) -> set[str]:
    """Return the listed ids that name no test, as far as this run has collected their files."""
    if any("::" in argument for argument in config.args):
        return set()
    collected = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    return {
        node_id
        for node_id in set(listed) - collected
        if node_id.partition("::")[0] in files
        or not (config.rootpath / node_id.partition("::")[0]).is_file()
    }
