"""Imports point one way: console, daemon, transport, protocol, coordination, state."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1] / "src" / "siskinward"
LAYERS = ("console", "daemon", "transport", "protocol", "coordination", "state")


def imported_layers(path: Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = [n.module or "" for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)]
    return {name.split(".")[1] for name in names if name.startswith("siskinward.")}


@pytest.mark.parametrize("layer", LAYERS)
def test_layer_imports_only_lower_layers(layer: str) -> None:
    allowed = set(LAYERS[LAYERS.index(layer) :])
    if layer == "console":
        allowed |= {"standins", "measures"}
    for path in sorted((SOURCE / layer).rglob("*.py")):
        assert imported_layers(path) <= allowed, path.name


def test_decision_layers_do_no_io() -> None:
    for layer in ("coordination", "state"):
        for path in (SOURCE / layer).rglob("*.py"):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            modules = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
            assert not modules & {"curio", "socket", "time", "h11", "random"}, path.name
