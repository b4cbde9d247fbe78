"""Decodes the answers of the platform's store.

An answer as a whole is refused if its position can't be read. Of its rows each is read for itself:
one that can't be read takes the place of what it replaces and stands for nothing.
"""

from __future__ import annotations

import base64
import re
from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.rows import MAX_ERA
from siskinward.coordination.steering.rows import MAX_VERSION
from siskinward.coordination.steering.rows import Position
from siskinward.platform._units import UNEXPECTED_VALUE_ERRORS
from siskinward.platform._units import DecodeError
from siskinward.platform._units import decoding
from siskinward.platform._units import describe
from siskinward.platform._units import encode_unreadable
from siskinward.platform._units import read_json
from siskinward.platform._units import read_list
from siskinward.platform._units import read_whole
from siskinward.protocol.counts import decode_count

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.transport.http_messages import HttpResponse

    CheckRow = Callable[[str, bytes], object]

SURROGATES = re.compile("[\ud800-\udfff]")
# Counts the times that the store came back from an old copy of itself.
ERA_HEADER = b"store-era"


@frozen
class StoreAnswer:
    """An answer: the rows in it, the store's position, and whether more pages follow."""

    rows: tuple[Row, ...]
    position: Position
    has_more: bool = False

    @property
    def last_key(self) -> str:
        """The last key that can be read, after which the next page begins; empty if none can."""
        return max((row.key for row in self.rows), default="")


def decode_answer(response: HttpResponse, check_row: CheckRow | None = None) -> StoreAnswer:
    """Decode a successful answer; raises ``DecodeError`` if its position can't be read.

    ``check_row`` raises ``DecodeError`` for the key and value of a row that can't be used.
    """
    with decoding("answer"):
        body = read_json(response.body, "answer")
        position = _read_position(response, body)
        encoded = read_list(body, "rows", "answer")
        rows = tuple(_read_row(item, position.version, check_row) for item in encoded)
        return StoreAnswer(rows, position, body.get("more_pages") is True)


def _read_era(response: HttpResponse) -> int:
    """Decode the store's era, 0 if it states none; raises ``DecodeError``."""
    era = decode_count(response.header(ERA_HEADER) or b"0")
    if era is None or era > MAX_ERA:
        raise DecodeError("answer", f"expected an era up to {MAX_ERA}, found {era}")
    return era


def _read_position(response: HttpResponse, body: Any) -> Position:
    if not isinstance(body, dict):
        raise DecodeError("answer", f"expected a table, found {describe(body)}")
    version = read_whole(body, "ver", "answer", smallest=0, largest=MAX_VERSION)
    return Position(_read_era(response), version)


def _read_row(encoded: Any, newest: int, check_row: CheckRow | None) -> Row:
    """Read one row; ``newest`` is the version of a row that states none that can be used."""
    key = _read_key(encoded)
    if key is None:
        return _unreadable_row("", newest, f"expected a row with a key, found {describe(encoded)}")
    version = encoded.get("ver")
    if type(version) is not int or not 0 <= version <= newest:
        return _unreadable_row(key, newest, f"expected a version, found {describe(version)}")
    # A removed row has the field ``removed`` and no value.
    if encoded.get("removed"):
        return Row(key, None, version)
    try:
        value = base64.b64decode(encoded.get("value") or "")
        if check_row is not None:
            check_row(key, value)
    except UNEXPECTED_VALUE_ERRORS as error:
        return _unreadable_row(key, version, f"expected base64: {describe(str(error))}")
    except DecodeError as error:
        return _unreadable_row(key, version, error.error.detail)
    return Row(key, value, version)


def _read_key(encoded: Any) -> str | None:
    """Return the key of a row; None if it has none, or one that can't be encoded."""
    key = encoded.get("key") if isinstance(encoded, dict) else None
    if not isinstance(key, str) or not key or SURROGATES.search(key):
        return None
    return key


def _unreadable_row(key: str, version: int, reason: str) -> Row:
    return Row(key, encode_unreadable(reason), version)
