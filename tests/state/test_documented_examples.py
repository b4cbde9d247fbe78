"""The INI texts of the operators' page are valid."""

from __future__ import annotations

import re
from pathlib import Path

from siskinward.state.configuration import parse_configuration
from siskinward.state.settings import parse_settings

PAGE = (Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


def test_documented_configuration_and_settings_are_valid() -> None:
    configuration, settings = re.findall(r"```ini\n(.*?)```", PAGE, re.DOTALL)
    assert parse_configuration(configuration, "OPERATIONS.md").is_ok()
    assert parse_settings(settings, "OPERATIONS.md").is_ok()
