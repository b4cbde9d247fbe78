"""Deltas between two rendered configurations, found section by section without parsing them."""

from __future__ import annotations

from siskinward.state.configuration._delta import REMOVED

SECTION_START = "\n["


def section_delta(old_text: str, new_text: str) -> str:
    """Return the delta (as ``apply_delta`` takes it) that leads from one text to the other.

    Both texts are ``render_configuration``'s output: one section an object, headers unique.
    """
    old = _sections(old_text)
    new = _sections(new_text)
    changed = [text for header, text in new.items() if old.get(header) != text]
    removed = [f"[{REMOVED} {header}]\n" for header in old if header not in new]
    return "\n".join([*removed, *changed])


def _sections(text: str) -> dict[str, str]:
    parts = f"\n{text}".split(SECTION_START)[1:]
    return {part.partition("]")[0]: f"[{part.rstrip()}\n" for part in parts}
