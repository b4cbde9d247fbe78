"""Reads INI text into data classes and reports all of its errors."""

from __future__ import annotations

from siskinward.state.ini._errors import ConfigurationError
from siskinward.state.ini._errors import ConfigurationErrors
from siskinward.state.ini._fields import FieldSpec
from siskinward.state.ini._fields import encode_field
from siskinward.state.ini._fields import field_specs
from siskinward.state.ini._reader import Section
from siskinward.state.ini._reader import read_ini
from siskinward.state.ini._reader import read_text
from siskinward.state.ini._sections import DecodedSection
from siskinward.state.ini._sections import decode_section

__all__ = [
    "ConfigurationError",
    "ConfigurationErrors",
    "DecodedSection",
    "FieldSpec",
    "Section",
    "decode_section",
    "encode_field",
    "field_specs",
    "read_ini",
    "read_text",
]
