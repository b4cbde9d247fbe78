"""Times and versions as the platform writes them, and checked access to decoded fields."""

from __future__ import annotations

from typing import Any

from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}


class WireError(SiskinwardError):
    """A value of the platform that cannot be read. ``where`` names object and field."""

    def __init__(self, where: str, detail: str) -> None:
        super().__init__(StepError("read", where, detail))


def read_time_s(value: object, where: str) -> float:
    """Decode ``1500ms`` or ``2.5s``."""
    if isinstance(value, str):
        for unit, seconds in SECONDS_BY_UNIT.items():
            number = value.removesuffix(unit)
            if number != value:
                try:
                    return float(number) * seconds
                except ValueError:
                    break
    raise WireError(where, f"expected a time such as 1500ms or 2.5s, found {value!r}")


def read_version(value: object, where: str) -> int:
    """Decode a configuration version such as ``r12``."""
    if isinstance(value, str) and value[:1] == "r" and value[1:].isdigit():
        return int(value[1:])
    raise WireError(where, f"expected a version such as r12, found {value!r}")


def read_text(fields: dict[str, Any], name: str, where: str) -> str:
    """Return a field that must be text."""
    value = fields.get(name)
    if not isinstance(value, str):
        raise WireError(f"{where}.{name}", f"expected text, found {value!r}")
    return value


def read_number(
    fields: dict[str, Any], name: str, where: str, default: float | None = None
) -> float:
    """Return a field that must be a number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{where}.{name}", f"expected a number, found {value!r}")
    return value


def read_table(fields: object, name: str, where: str) -> dict[str, Any]:
    """Return a field that must be a table."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, dict):
        raise WireError(f"{where}.{name}", f"expected a table, found {value!r}")
    return value


def read_address(value: object, where: str) -> tuple[str, int]:
    """Decode ``10.1.0.8:8206``."""
    host, separator, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not separator or not port.isdigit() or not host:
        raise WireError(where, f"expected an address such as 10.1.0.8:8206, found {value!r}")
    return host, int(port)
