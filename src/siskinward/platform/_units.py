"""Parses durations, versions and addresses, and reads typed fields of decoded documents."""

from __future__ import annotations

import json
import re
from contextlib import contextmanager
from reprlib import Repr
from typing import TYPE_CHECKING
from typing import Any

from siskinward.protocol.counts import decode_count
from siskinward.state.addresses import is_ip_address
from siskinward.state.addresses import is_port
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Iterator

# Integers below this are exact as floating point numbers.
LARGEST_NUMBER = 10.0**15
LONGEST_TEXT_CHARACTERS = 1000
LONGEST_DURATION_S = 10.0 * 365 * 24 * 3600
VERSION_PATTERN = re.compile(r"r[0-9]{1,15}")
# Control characters, and the code points of surrogates, which have no encoding.
UNUSABLE_CHARACTERS = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")
SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}
# The only field of what stands for a value that can't be read; says why.
UNREADABLE_FIELD = "unreadable"
# What a value of another type, size or shape than a decoder expects may raise there.
UNEXPECTED_VALUE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
_SHORT = Repr()
_SHORT.maxstring = _SHORT.maxother = 80


class DecodeError(SiskinwardError):
    """Raised for an invalid value from the platform; ``where`` names object and field."""

    def __init__(self, where: str, detail: str) -> None:
        super().__init__(StepError("read", where, detail))


@contextmanager
def decoding(where: str) -> Iterator[None]:
    """Let a decoder fail with ``DecodeError`` alone, whatever is wrong with its document."""
    try:
        yield
    except UNEXPECTED_VALUE_ERRORS as error:
        detail = f"unexpected {type(error).__name__}: {describe(str(error))}"
        raise DecodeError(where, detail) from error


def describe(value: object) -> str:
    """Return a value's text for an error message, cut short, in printable characters."""
    try:
        return _SHORT.repr(value)
    except (RecursionError, ValueError):
        # The value is nested too deep, or is an integer with too many digits to be written.
        return f"a {type(value).__name__} that can't be shown"


def read_duration_s(value: object, where: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``."""
    if isinstance(value, str):
        for unit, seconds in SECONDS_BY_UNIT.items():
            number = value.removesuffix(unit)
            if number != value:
                try:
                    duration_s = float(number) * seconds
                except ValueError:
                    break
                if 0 <= duration_s < LONGEST_DURATION_S:
                    return duration_s
    raise DecodeError(where, f"expected a duration such as 1500ms or 2.5s, found {describe(value)}")


def read_version(value: object, where: str) -> int:
    """Parse a configuration version such as ``r12``."""
    if isinstance(value, str) and VERSION_PATTERN.fullmatch(value):
        return int(value[1:])
    raise DecodeError(where, f"expected a version such as r12, found {describe(value)}")


def read_text(fields: dict[str, Any], name: str, where: str) -> str:
    """Return a text field; raises ``DecodeError`` as ``check_text`` does, or if it is missing."""
    return check_text(fields.get(name), f"{where}.{name}")


def check_text(value: object, where: str) -> str:
    """Return a value that is text and can be sent, logged and counted under.

    Raises ``DecodeError`` for other types, for control characters, for code points that have no
    encoding, and for texts that are too long.
    """
    is_short_text = isinstance(value, str) and len(value) <= LONGEST_TEXT_CHARACTERS
    if not is_short_text or UNUSABLE_CHARACTERS.search(str(value)):
        detail = f"expected text of at most {LONGEST_TEXT_CHARACTERS} characters, none of control"
        raise DecodeError(where, f"{detail}, found {describe(value)}")
    return str(value)


def check_name(value: object, where: str) -> str:
    """Return a text that can be the value of a header field; raises ``DecodeError``."""
    name = check_text(value, where)
    if not name or name != name.strip():
        raise DecodeError(where, f"expected a name without outer blanks, found {describe(name)}")
    return name


def read_texts(fields: dict[str, Any], name: str, where: str) -> tuple[str, ...]:
    """Return a field that lists texts; empty if it is missing. Raises ``DecodeError``."""
    return tuple(check_text(item, f"{where}.{name}") for item in read_list(fields, name, where))


def read_list(fields: dict[str, Any], name: str, where: str) -> list[Any]:
    """Return a field that is a list; empty if it is missing. Raises ``DecodeError``."""
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise DecodeError(f"{where}.{name}", f"expected a list, found {describe(value)}")
    return value


def read_number(
    fields: dict[str, Any], name: str, where: str, default: float | None = None
) -> float:
    """Return a numeric field; raises ``DecodeError`` if it is no number of usual size."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise DecodeError(f"{where}.{name}", f"expected a number, found {describe(value)}")
    if not -LARGEST_NUMBER < value < LARGEST_NUMBER:
        raise DecodeError(f"{where}.{name}", "expected a number of at most 15 digits")
    return value


def read_whole(
    fields: dict[str, Any],
    name: str,
    where: str,
    *,
    smallest: int,
    largest: int,
    default: int | None = None,
) -> int:
    """Return a field that is a whole number within bounds; raises ``DecodeError`` otherwise."""
    value = read_number(fields, name, where, default)
    if value != int(value) or not smallest <= value <= largest:
        detail = f"expected a whole number from {smallest} to {largest}, found {describe(value)}"
        raise DecodeError(f"{where}.{name}", detail)
    return int(value)


def read_mapping(fields: object, name: str, where: str) -> dict[str, Any]:
    """Return a field that holds a TOML table or JSON object; raises ``DecodeError`` otherwise."""
    value = fields.get(name) if isinstance(fields, dict) else None
    if not isinstance(value, dict):
        raise DecodeError(f"{where}.{name}", f"expected a table, found {describe(value)}")
    return value


def read_address(value: object, where: str) -> tuple[str, int]:
    """Parse an address such as ``10.1.0.8:8206`` into host and port."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    number = decode_count(port.encode())
    if number is None or not is_port(number) or not is_ip_address(host):
        raise DecodeError(
            where, f"expected an address such as 10.1.0.8:8206, found {describe(value)}"
        )
    return host, number


def read_json(value: bytes, where: str) -> Any:
    """Parse JSON; raises ``DecodeError`` if the bytes are none, or nested too deep.

    So it does for a value that stands for one that could not be read when it arrived.
    """
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise DecodeError(where, f"expected JSON: {describe(str(error))}") from error
    if isinstance(document, dict) and document.keys() == {UNREADABLE_FIELD}:
        raise DecodeError(where, str(document[UNREADABLE_FIELD])[:LONGEST_TEXT_CHARACTERS])
    return document


def encode_unreadable(reason: str) -> bytes:
    """Encode what stands for a value that can't be read, however large that is."""
    return json.dumps({UNREADABLE_FIELD: reason}).encode()
