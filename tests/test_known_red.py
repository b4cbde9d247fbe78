"""The run passes over exactly the failing tests that ``KNOWN-RED.txt`` lists."""

from __future__ import annotations

from pathlib import Path

import pytest

PLUGIN = (Path(__file__).parent / "known_red.py").read_text(encoding="utf-8")
TESTS = """
import pytest

def test_passing():
    pass

def test_failing():
    raise AssertionError("red")

@pytest.mark.parametrize("number", [1, 2])
def test_failing_once(number):
    assert number == 1
"""


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makeconftest(PLUGIN)
    pytester.makepyfile(test_sample=TESTS)
    return pytester


def run(project: pytest.Pytester, *listed: str) -> pytest.RunResult:
    lines = [f"test: {node_id}\ncommand: pytest {node_id}\n" for node_id in listed]
    project.makefile(".txt", **{"KNOWN-RED": "\n".join(lines)})
    return project.runpytest()


def test_unlisted_failing_test_fails_the_run(project: pytest.Pytester) -> None:
    result = run(project, "test_sample.py::test_failing")
    result.assert_outcomes(passed=2, xfailed=1, failed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_run_passes_over_exactly_the_listed_tests_and_prints_them(project: pytest.Pytester) -> None:
    result = run(project, "test_sample.py::test_failing", "test_sample.py::test_failing_once[2]")
    result.assert_outcomes(passed=2, xfailed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["test_sample.py::test_failing"])
    result.stdout.fnmatch_lines(["test_sample.py::test_failing_once?2?"])


def test_listed_test_that_passes_fails_the_run(project: pytest.Pytester) -> None:
    result = run(
        project,
        "test_sample.py::test_passing",
        "test_sample.py::test_failing",
        "test_sample.py::test_failing_once[2]",
    )
    result.assert_outcomes(passed=1, xfailed=2, failed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize("node_id", ["test_sample.py::test_renamed", "test_removed.py::test_it"])
def test_entry_that_names_no_test_fails_the_run(project: pytest.Pytester, node_id: str) -> None:
    result = run(project, node_id)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*{node_id}*"])


def test_prose_of_an_entry_lists_no_test(project: pytest.Pytester) -> None:
    project.makefile(".txt", **{"KNOWN-RED": "see test_sample.py::test_failing\n"})
    result = project.runpytest()
    result.assert_outcomes(passed=2, failed=2)
