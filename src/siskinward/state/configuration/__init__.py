"""Checked configuration: parses, checks and renders the operators' objects."""

from __future__ import annotations

from siskinward.state.configuration._parser import check_configuration
from siskinward.state.configuration._parser import load_configuration
from siskinward.state.configuration._parser import parse_configuration
from siskinward.state.configuration._renderer import render_configuration
from siskinward.state.ini import ConfigurationError
from siskinward.state.ini import ConfigurationErrors

__all__ = [
    "ConfigurationError",
    "ConfigurationErrors",
    "check_configuration",
    "load_configuration",
    "parse_configuration",
    "render_configuration",
]
