"""Fixtures shared by all tests: a paused clock for curio and a fixed hypothesis profile."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from known_red import pytest_collection_modifyitems as pytest_collection_modifyitems
from known_red import pytest_terminal_summary as pytest_terminal_summary

from siskinward.standins import paused_clock

pytest_plugins = ["pytester"]

settings.register_profile("repeatable", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("repeatable")


@pytest.fixture
def paused_kernel() -> Any:
    """Provide a curio kernel whose sleeps and timeouts pass at once, exactly and in order."""
    with paused_clock.paused_kernel() as kernel:
        yield kernel
