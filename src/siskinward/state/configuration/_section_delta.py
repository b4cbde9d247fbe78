"""Deltas between two rendered configurations, computed by section without parsing them."""

from __future__ import annotations

from siskinward.state.configuration._delta import REMOVED

SECTION_START = "\n["


def section_delta(old_text: str, new_text: str) -> str:
    """Return the delta from one text to the other, in the form that ``apply_delta`` takes.

    Both texts must be output of ``render_configuration``: one section per object, unique headers.
    """
    old = _sections(old_text)
    new = _sections(new_text)
    changed = [text for header, text in new.items() if old.get(header) != text]
    removed = [f"[{REMOVED} {header}]\n" for header in old if header not in new]
    return "\n".join([*removed, *changed])


def _sections(text: str) -> dict[str, str]:
    parts = f"\n{text}".split(SECTION_START)[1:]
    return {part.partition("]")[0]: f"[{part.rstrip()}\n" for part in parts}
