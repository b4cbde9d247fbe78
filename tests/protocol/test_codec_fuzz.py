"""Fuzzes the codec: messages round-trip, and no frame raises or decodes to an unknown class."""

from __future__ import annotations

from enum import Enum
from types import UnionType
from typing import Any
from typing import NewType
from typing import Union
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import attrs
import msgpack
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from siskinward.protocol.registry import MESSAGES
from siskinward.protocol.registry import create_codec

CODEC = create_codec()
INTEGERS = st.integers(min_value=0, max_value=2**40)
LEAVES: dict[Any, st.SearchStrategy[Any]] = {
    int: INTEGERS,
    float: st.floats(allow_nan=False, allow_infinity=False),
    str: st.text(max_size=8),
    bytes: st.binary(max_size=8),
    bool: st.booleans(),
}


def values_of(hint: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for values of a type annotation."""
    if isinstance(hint, NewType):
        return values_of(hint.__supertype__)
    if hint in LEAVES:
        return LEAVES[hint]
    if hint is type(None):
        return st.none()
    if get_origin(hint) in (Union, UnionType):
        return st.one_of(*(values_of(part) for part in get_args(hint)))
    if get_origin(hint) is tuple:
        parts = get_args(hint)
        if parts[-1] is Ellipsis:
            return st.lists(values_of(parts[0]), max_size=2).map(tuple)
        return st.tuples(*(values_of(part) for part in parts))
    if get_origin(hint) is dict:
        return st.dictionaries(st.text(max_size=4), values_of(get_args(hint)[1]), max_size=2)
    if issubclass(hint, Enum):
        return st.sampled_from(list(hint))
    fields = get_type_hints(hint)
    names = [field.name for field in attrs.fields(hint)]
    return st.builds(hint, **{name: values_of(fields[name]) for name in names})


@pytest.mark.parametrize("message_type", MESSAGES, ids=lambda item: item.__name__)
def test_message_round_trips(message_type: type) -> None:
    @settings(max_examples=20)
    @given(values_of(message_type))
    def check(message: Any) -> None:
        frame = msgpack.unpackb(CODEC.encode(message), strict_map_key=False)
        assert CODEC.decode(frame, "peer").ok == message

    check()


NESTED = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
NAMES = st.sampled_from([message_type.__name__ for message_type in MESSAGES])


@given(NESTED | st.tuples(NAMES, NESTED).map(list))
def test_any_frame_is_decoded_without_an_exception(frame: Any) -> None:
    CODEC.decode(frame, "peer")


@given(st.tuples(NAMES, st.lists(NESTED, max_size=6)).map(list))
def test_a_decoded_frame_is_of_a_registered_class(frame: Any) -> None:
    result = CODEC.decode(frame, "peer")
    if result.is_ok():
        assert type(result.ok) in MESSAGES
    else:
        assert result.error.peer == "peer"
