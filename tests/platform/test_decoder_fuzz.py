"""Whatever arrives from outside, a decoder returns a typed value or raises its typed error."""

from __future__ import annotations

import base64
import json
import tomllib
import zlib
from contextlib import suppress
from typing import Any

import msgpack
import tomli_w
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from siskinward.coordination.steering.row import Row
from siskinward.platform._configuration import decode_configuration
from siskinward.platform._control_requests import decode_lookup
from siskinward.platform._operator import decode_operator_row
from siskinward.platform._revisions import revision_of
from siskinward.platform._settings import SettingsError
from siskinward.platform._settings import decode_settings
from siskinward.platform._store_answers import decode_answer
from siskinward.platform._targets import decode_target
from siskinward.platform._units import DecodeError
from siskinward.platform.standins import create_configuration
from siskinward.platform.standins import render_settings
from siskinward.protocol.counts import decode_count
from siskinward.protocol.heartbeats import decode_datagram
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.row_messages import decode_rows_reply
from siskinward.protocol.row_messages import decode_rows_request
from siskinward.protocol.steering_headers import decode_load
from siskinward.protocol.steering_headers import decode_rate_limit
from siskinward.protocol.vm_identity import decode_vm
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.relay_messages import decode_relay_reply
from siskinward.transport.relay_messages import decode_relay_request
from soak.odd_entries import ENTRY
from soak.odd_entries import ODD_ENTRIES

EXAMPLES = settings(max_examples=300)
NOW_S = 100.0
HUGE = [2**63, 2**64 - 1, -(2**63), 10**15, -1, 0]
NUMBERS = st.one_of(st.integers(-(2**63), 2**64 - 1), st.sampled_from(HUGE), st.floats())
TEXTS = st.one_of(
    st.text(st.characters(), max_size=12),
    st.sampled_from(["\ud800", "a:\udfff", "1\x00", "r9" * 99]),
)
LEAVES = st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS)
JSON_VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(TEXTS, inner, max_size=4)),
    max_leaves=12,
)
WIRE_LEAVES = st.one_of(
    st.none(), st.booleans(), NUMBERS, st.text(max_size=8), st.binary(max_size=8)
)
WIRE_VALUES = st.recursive(
    WIRE_LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=8), st.dictionaries(WIRE_LEAVES, inner, max_size=4)
    ),
    max_leaves=16,
)
GOOD_VM = ["vm-x", "a", "10.1.0.77", 80, "bud-a", "budapest", 1.0]
HEARTBEAT = [1, GOOD_VM, 1, 1, {"targets": 5}, {"targets": 0.1}, {7: 1}, {"a": 1.0}, {"f": 1}]
DATAGRAMS = [
    HEARTBEAT,
    [2, "a", 1, [1, 1], [0, 0], {"warm": [1, 2], "limits": [[1, 2, 3]], "warmups": {1: 2}}],
    [3, 1, "account-1", 1],
    [4, 1, "account-1", 1, 100],
    [5, 1, "t", 1, 1000, 0],
    [6, 1, True, 100],
]


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths to all values within a document."""
    if not isinstance(value, dict | list):
        return [path]
    items = value.items() if isinstance(value, dict) else enumerate(value)
    return [path, *(found for key, item in items for found in paths_of(item, (*path, key)))]


def replaced(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a document with the value at a path replaced."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


def spoilt(document: Any, values: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    """Return a strategy for a document of which one or two values are others."""
    places = [path for path in paths_of(document) if path]
    change = st.tuples(st.sampled_from(places), values)

    def apply(changes: list[tuple[tuple[Any, ...], Any]]) -> Any:
        result = document
        for path, value in changes:
            try:
                result = replaced(result, path, value)
            except (IndexError, KeyError, TypeError):
                # The change before has taken the place away.
                continue
        return result

    return st.lists(change, min_size=1, max_size=2).map(apply)


def assert_can_be_written(*values: object) -> None:
    """Check that values can go to logs, metrics and messages between VMs."""
    for value in values:
        str(value).encode()


def encode_json(value: Any) -> bytes:
    return json.dumps(value).encode()


@EXAMPLES
@given(st.one_of(spoilt(ENTRY, JSON_VALUES), JSON_VALUES).map(encode_json) | st.binary())
def test_target_decoder_raises_nothing_but_its_error(value: bytes) -> None:
    revision_of(Row("odd", value, 1))
    try:
        record = decode_target("odd", value)
    except DecodeError as error:
        assert_can_be_written(error)
        return
    assert_can_be_written(record.service, record.host, record.failure_domain)
    assert 0 < record.port <= 65535


def test_target_decoder_refuses_each_odd_entry() -> None:
    for entry in ODD_ENTRIES.values():
        revision_of(Row("odd", entry, 1))
        try:
            decode_target("odd", entry)
        except DecodeError as error:
            assert len(str(error)) < 2000
            assert_can_be_written(error)
        else:
            raise AssertionError(f"decoded {entry!r}")


@EXAMPLES
@given(TEXTS)
def test_target_decoder_refuses_names_that_no_header_can_carry(name: str) -> None:
    try:
        assert_can_be_written(decode_target(name, encode_json(ENTRY)).name)
    except DecodeError:
        return
    assert name == name.strip()


CONFIGURATION = json.loads(create_configuration(("listings", "bookings"), 5.0, 5.0).encode())


@EXAMPLES
@given(spoilt(CONFIGURATION, JSON_VALUES).map(encode_json) | st.binary())
def test_configuration_decoder_raises_nothing_but_its_error(value: bytes) -> None:
    revision_of(Row("config", value, 1))
    try:
        configuration = decode_configuration(value)
    except DecodeError as error:
        assert_can_be_written(error)
        return
    accounts = [account.name for account in configuration.accounts]
    assert_can_be_written(*configuration.services, *accounts)


@EXAMPLES
@given(TEXTS, st.binary())
def test_operator_row_decoder_raises_nothing_but_its_error(key: str, value: bytes) -> None:
    for name in (key, f"evacuate/{key}"):
        try:
            decode_operator_row(Row(name, value, 1))
        except DecodeError as error:
            assert_can_be_written(error)


STORED = {
    "table": "servers",
    "part": "",
    "key": "i-1",
    "ver": 7,
    "value": base64.b64encode(encode_json(ENTRY)).decode(),
}
REMOVED = {"table": "servers", "part": "", "key": "i-2", "ver": 8, "removed": True}
ANSWER = {"rows": [STORED, REMOVED], "more_pages": False, "ver": 9, "now": "100ms"}


@EXAMPLES
@given(
    st.one_of(spoilt(ANSWER, JSON_VALUES), JSON_VALUES).map(encode_json) | st.binary(),
    st.one_of(st.none(), st.binary(max_size=20), st.sampled_from([b"1", b"9" * 15, b"-1"])),
)
@example(encode_json({**ANSWER, "ver": 10**30}), None)
@example(b'{"rows": [], "ver": Infinity}', None)
def test_store_answer_decoder_raises_nothing_but_its_error(body: bytes, era: bytes | None) -> None:
    headers = () if era is None else ((b"store-era", era),)
    try:
        answer = decode_answer(HttpResponse(200, headers, body), decode_target)
    except DecodeError as error:
        assert_can_be_written(error)
        return
    for row in answer.rows:
        assert_can_be_written(row.key)
        msgpack.packb((row.key, row.value, row.version))
    msgpack.packb((answer.position.era << 40) + answer.position.version)


@EXAMPLES
@given(st.sampled_from(DATAGRAMS).flatmap(lambda item: spoilt(item, WIRE_VALUES)) | WIRE_VALUES)
@example({(1,): 2})
def test_datagram_decoder_raises_nothing_but_its_error(message: Any) -> None:
    with suppress(PeerMessageError):
        decode_datagram(msgpack.packb(message))


@EXAMPLES
@given(st.binary())
def test_peer_message_decoders_raise_nothing_but_their_error_for_any_bytes(data: bytes) -> None:
    for decode in (
        decode_datagram,
        decode_rows_request,
        decode_relay_request,
        decode_relay_reply,
        decode_vm,
        lambda item: decode_rows_reply(item, NOW_S),
        lambda item: decode_rows_reply(zlib.compress(item), NOW_S),
    ):
        try:
            decode(data)
        except PeerMessageError:
            continue


ROWS_REQUEST = ["targets", 5, "10.1.0.9"]
ROWS_REPLY = [1, 4, 9, [["i-1", b"x", 7], ["i-2", None, 8]], [["i-3", b"y", 3, 1.5]]]
REFERRAL = [2, ["10.1.0.9"]]
REQUEST = ["GET", "/a", [[b"host", b"x"]], b""]
RELAY_REQUEST = ["t-1", "10.1.64.1", 8080, 900, True, REQUEST]
RELAY_ANSWER = [1, 200, [[b"x", b"y"]], b"done"]
RELAY_FAILURE = [2, "sent", "closed", False, True]


@EXAMPLES
@given(spoilt(ROWS_REQUEST, WIRE_VALUES))
def test_rows_request_decoder_raises_nothing_but_its_error(message: Any) -> None:
    with suppress(PeerMessageError):
        decode_rows_request(msgpack.packb(message))


@EXAMPLES
@given(st.one_of(spoilt(ROWS_REPLY, WIRE_VALUES), spoilt(REFERRAL, WIRE_VALUES)))
def test_rows_reply_decoder_raises_nothing_but_its_error(message: Any) -> None:
    with suppress(PeerMessageError):
        decode_rows_reply(zlib.compress(msgpack.packb(message)), NOW_S)


@EXAMPLES
@given(spoilt(RELAY_REQUEST, WIRE_VALUES))
@example(["t-1", "10.1.64.1", 8080, 900, True, ["GET", "/a", [], 2**62]])
def test_relay_request_decoder_raises_nothing_but_its_error(message: Any) -> None:
    with suppress(PeerMessageError):
        decode_relay_request(msgpack.packb(message))


@EXAMPLES
@given(st.one_of(spoilt(RELAY_ANSWER, WIRE_VALUES), spoilt(RELAY_FAILURE, WIRE_VALUES)))
@example([1, 200, [], 2**62])
@example([1, 9, [], b""])
def test_relay_reply_decoder_raises_nothing_but_its_error(message: Any) -> None:
    try:
        reply = decode_relay_reply(msgpack.packb(message))
    except PeerMessageError:
        return
    if isinstance(reply, HttpResponse):
        assert 200 <= reply.status < 600


@EXAMPLES
@given(spoilt(GOOD_VM, WIRE_VALUES))
def test_vm_identity_decoder_raises_nothing_but_its_error(fields: Any) -> None:
    try:
        vm = decode_vm(msgpack.packb(fields))
    except PeerMessageError:
        return
    assert 0 < vm.front_port <= 65535


SETTINGS = tomllib.loads(
    render_settings("vm-1", "10.1.0.8", "bud-a", {"bud-a": "budapest"}, "10.200.1.7", ["drain=2s"])
)
TOML_TEXTS = st.text(max_size=12)
TOML_LEAVES = st.one_of(
    st.booleans(), st.integers(-(2**62), 2**62), st.floats(), TOML_TEXTS, st.datetimes()
)
TOML_VALUES = st.recursive(
    TOML_LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(TOML_TEXTS, inner, max_size=3)
    ),
    max_leaves=6,
)


@EXAMPLES
@given(spoilt(SETTINGS, TOML_VALUES))
def test_settings_decoder_raises_nothing_but_its_error(document: dict[str, Any]) -> None:
    try:
        decode_settings(tomllib.loads(tomli_w.dumps(document)))
    except SettingsError as error:
        assert_can_be_written(error)


@EXAMPLES
@given(st.binary(max_size=40))
def test_header_decoders_return_for_any_bytes(value: bytes) -> None:
    decode_count(value)
    decode_load(value)
    decode_rate_limit(value)


@EXAMPLES
@given(st.text(st.characters(max_codepoint=127), max_size=30))
@example("//[")
def test_lookup_decoder_returns_for_any_target(target: str) -> None:
    decode_lookup(HttpRequest("GET", target, ()))
