"""Each layer imports only lower ones: console, daemon, transport, protocol, coordination, state."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1] / "src" / "siskinward"
# Names that only the users' platform uses; shared ones, such as x-deadline-ms, are left out.
WIRE_NAMES = (
    "x-attempt-id",
    "x-affinity-key",
    "x-expect-instance",
    "x-response-signature",
    "x-backend-load",
    "x-not-executed",
    "x-warmup-ms",
    "x-tenant",
    "server-leaving",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "traffic_split",
    "allowed_regions",
    "warmup_per_s",
    "api_keys",
    "siskinward_boot",
)
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


def test_platform_is_imported_only_from_its_own_folder() -> None:
    for path in sorted(SOURCE.rglob("*.py")):
        if path.is_relative_to(SOURCE / "platform"):
            continue
        assert "platform" not in imported_layers(path), path.name


def test_platform_imports_only_lower_layers_and_stand_ins() -> None:
    allowed = {"platform", "daemon", "transport", "protocol", "coordination", "state", "standins"}
    for path in sorted((SOURCE / "platform").rglob("*.py")):
        assert imported_layers(path) <= allowed, path.name


def test_only_the_platform_folder_knows_the_platforms_names() -> None:
    for path in sorted(SOURCE.rglob("*.py")):
        if path.is_relative_to(SOURCE / "platform"):
            continue
        text = path.read_text(encoding="utf-8").lower()
        found = [name for name in WIRE_NAMES if name in text]
        assert not found, f"{path.name}: {found}"


def test_entry_process_imports_nothing_that_only_other_processes_use() -> None:
    script = (
        "import sys; import siskinward.platform.entry;"
        "print('\\n'.join(name for name in sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    heavy = {"cattrs", "click", "eliot", "expression", "prometheus_client", "hdrh"}
    assert not heavy & set(done.stdout.split())


def test_decision_layers_do_no_io() -> None:
    for layer in ("coordination", "state"):
        for path in (SOURCE / layer).rglob("*.py"):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            modules = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
            assert not modules & {"curio", "socket", "time", "h11", "random"}, path.name


def test_entry_modules_read_only_the_steady_clock() -> None:
    # The wall clock of a VM may jump at any moment.
    wall_clocks = {"time", "time_ns", "now", "utcnow", "today", "localtime", "gmtime"}
    folders = ("daemon/entry", "coordination/steering", "platform", "transport", "protocol")
    for folder in folders:
        for path in sorted((SOURCE / folder).rglob("*.py")):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            calls = [node.func for node in ast.walk(tree) if isinstance(node, ast.Call)]
            attributes = [call for call in calls if isinstance(call, ast.Attribute)]
            found = [
                f"{call.value.id}.{call.attr}"
                for call in attributes
                if isinstance(call.value, ast.Name)
                and call.value.id in {"time", "datetime", "date"}
                and call.attr in wall_clocks
            ]
            assert not found, f"{path.name}: {found}"
