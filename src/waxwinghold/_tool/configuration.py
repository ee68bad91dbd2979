"""Makes ``docs/CONFIGURATION.md`` from the data classes and their docstrings."""

import dataclasses
import enum
import inspect
import re
import typing

from .._gateway.settings import GatewaySettings
from .._ranks.settings import RankSettings
from .._settings import AgentSettings, EntrySettings
from .._sheet.model import Sheet
from .settings import OperatorSettings

INTRODUCTION = """\
# Configuration

Made by `waxwing configuration` from the types; a test compares the two.

Settings are files of JSON with comments, read at a process's start. The sheet
is published by the platform and followed while processes run. An unknown key,
a wrong type or a value out of range is refused with the file or row, the key
and what was expected. `examples/` holds a file of each kind.

A key without a default must be given. Fields carry their unit: `_ms`
milliseconds, `_bytes` bytes, `_count` a number of things, `_percent` parts of
100, `_ratio` parts of 1.
"""

SECTIONS = (
    ("Settings of `waxwingd entry`", EntrySettings),
    ("Settings of `waxwingd agent`", AgentSettings),
    ("Settings of the gateway on the users' platform", GatewaySettings),
    ("Settings of the agent beside a rank there", RankSettings),
    ("Settings of `waxwing`", OperatorSettings),
    ("The sheet", Sheet),
)


def configuration_page():
    """Return the page as Markdown."""
    parts = [INTRODUCTION]
    seen = set()
    for title, kind in SECTIONS:
        parts.append(f"## {title}\n\n{_summary(kind)}\n\n{_table(kind)}")
        for inner in _inner_kinds(kind):
            if inner not in seen:
                seen.add(inner)
                parts.append(_inner_section(inner))
    return "\n".join(parts)


def meanings(kind):
    """Return the meaning of each field of ``kind``, from its docstring's Args.

    A subclass's docstring adds to those of its bases.
    """
    found = {}
    for base in reversed(kind.__mro__):
        if dataclasses.is_dataclass(base):
            found.update(_arguments(inspect.getdoc(base)))
    return found


def _arguments(doc):
    _, _, text = doc.partition("\nArgs:\n")
    found = {}
    name = None
    for line in text.splitlines():
        match = re.match(r" {4}(\w+): (.*)", line)
        if match:
            name = match.group(1)
            found[name] = match.group(2)
        elif name and line.startswith(" " * 8):
            found[name] += " " + line.strip()
    return found


def _inner_section(kind):
    if issubclass(kind, enum.Enum):
        values = ", ".join(f"`{member.value}`" for member in kind)
        return f"### {kind.__name__}\n\n{_summary(kind)}\n\nOne of {values}.\n"
    return f"### {kind.__name__}\n\n{_summary(kind)}\n\n{_table(kind)}"


def _summary(kind):
    doc = inspect.getdoc(kind).partition("\nArgs:")[0]
    return doc.strip().replace("``", "`")


def _table(kind):
    hints = typing.get_type_hints(kind)
    lines = ["| key | type | default | meaning |", "|---|---|---|---|"]
    about = meanings(kind)
    for field in dataclasses.fields(kind):
        cells = (
            f"`{field.name}`",
            _type_text(hints[field.name]),
            _default_text(field.default),
            about.get(field.name, "").replace("``", "`"),
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _type_text(hint):
    arguments = [item for item in typing.get_args(hint) if item is not type(None)]
    origin = typing.get_origin(hint)
    if origin is tuple:
        return f"list of {_type_text(arguments[0])}"
    if origin is dict:
        return f"object of {_type_text(arguments[1])}"
    if arguments:
        return _type_text(arguments[0])
    names = {str: "text", int: "whole number", float: "number", bool: "true or false"}
    return names.get(hint) or f"[{hint.__name__}](#{hint.__name__.lower()})"


def _default_text(default):
    if default is dataclasses.MISSING:
        return ""
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    if isinstance(default, enum.Enum):
        return f"`{default.value}`"
    if default is None or default == ():
        return "none"
    if default == "":
        return "empty"
    if dataclasses.is_dataclass(default):
        return "its defaults"
    return f"`{default}`"


def _inner_kinds(kind):
    """Return the data classes and enumerations that ``kind`` is made of."""
    found = []
    for hint in typing.get_type_hints(kind).values():
        for inner in (hint, *typing.get_args(hint)):
            if not isinstance(inner, type) or inner in found:
                continue
            if dataclasses.is_dataclass(inner):
                found.extend([inner, *_inner_kinds(inner)])
            elif issubclass(inner, enum.Enum):
                found.append(inner)
    return found
