"""Look-up of client accounts by key."""

from __future__ import annotations

from pathlib import Path

import pytest

from siskinward.state.configuration import load_configuration
from siskinward.state.key_table import KeyTable

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.ini"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_demo_key_belongs_to_its_account(path: Path) -> None:
    configuration = load_configuration(path).ok
    table = KeyTable(configuration)
    for name in configuration.client_accounts:
        assert table.account_of(f"demo-{name}") == name


@pytest.mark.parametrize("key_text", ["", "demo-", "parish-guild", "\ud800", "demo-parish-guild "])
def test_unknown_key_has_no_account(key_text: str) -> None:
    table = KeyTable(load_configuration(EXAMPLES[-1]).ok)
    assert table.account_of(key_text) is None
