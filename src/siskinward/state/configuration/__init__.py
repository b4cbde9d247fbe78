"""Parses, checks, compares and renders the configuration."""

from __future__ import annotations

from siskinward.state.configuration._changes import ObjectChange
from siskinward.state.configuration._changes import apply_changes
from siskinward.state.configuration._changes import diff_configurations
from siskinward.state.configuration._delta import apply_delta
from siskinward.state.configuration._delta import render_delta
from siskinward.state.configuration._parser import check_configuration
from siskinward.state.configuration._parser import load_configuration
from siskinward.state.configuration._parser import parse_configuration
from siskinward.state.configuration._renderer import render_configuration
from siskinward.state.configuration._section_delta import section_delta
from siskinward.state.ini import ConfigurationError
from siskinward.state.ini import ConfigurationErrors

__all__ = [
    "ConfigurationError",
    "ConfigurationErrors",
    "ObjectChange",
    "apply_changes",
    "apply_delta",
    "check_configuration",
    "diff_configurations",
    "load_configuration",
    "parse_configuration",
    "render_configuration",
    "render_delta",
    "section_delta",
]
