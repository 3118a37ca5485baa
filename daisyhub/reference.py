"""Renders docs/CONFIGURATION.md from the data classes that define it.

Run `python -m daisyhub.reference > docs/CONFIGURATION.md` after a change; a
test compares the page with the classes.
"""

import dataclasses
import inspect
import re
import types
import typing

from daisyhub.checks import Range
from daisyhub.cli import OperatorSettings
from daisyhub.config import (
    ClientAccount,
    ClientKey,
    Document,
    EndpointPool,
    LotClass,
    Route,
)
from daisyhub.fleet_settings import FleetSettings
from daisyhub.settings import (
    Address,
    DaemonSettings,
    LimitSettings,
    PeerSettings,
    TimingSettings,
)

__all__ = ["render_reference"]

_CHAPTERS = (
    (
        "The configuration document",
        "Shared by all daemons; changed by `daisyhub apply`. Each section is an"
        " object of entries by name. A section that `owners` names may be"
        " changed by its teams only; a document with any owners must name those"
        " of `owners`. JSON with comments and trailing commas; unknown and"
        " repeated names are refused.",
        (Document, ClientAccount, ClientKey, Route, LotClass, EndpointPool),
    ),
    (
        "Settings of a daemon",
        "Read once at the start from the file of `daisyhubd --settings`.",
        (
            DaemonSettings,
            TimingSettings,
            LimitSettings,
            PeerSettings,
            Address,
        ),
    ),
    (
        "Settings of a daemon on the users' platform",
        "Filled in by the platform from `deploy/settings.jsonc.tmpl` at each"
        " start; `python -m daisyhub.platform` reads the file that the"
        " platform's variable names.",
        (FleetSettings,),
    ),
    (
        "Settings of the command line",
        "Read from the file of `daisyhub --settings`.",
        (OperatorSettings,),
    ),
)
_ATTRIBUTE = re.compile(r"^    (\w+): (.*(?:\n        .*)*)", re.MULTILINE)


def render_reference() -> str:
    """Returns the page: every field with type, unit, range and default."""
    lines = ["# Configuration", ""]
    for title, text, kinds in _CHAPTERS:
        lines += [f"## {title}", "", text, ""]
        for kind in kinds:
            lines += [f"### {kind.__name__}", "", _summary(kind), ""]
            lines += ["| field | type | range | unit | default | meaning |"]
            lines += ["| --- | --- | --- | --- | --- | --- |"]
            lines += [_row(kind, f) for f in dataclasses.fields(kind)]
            lines += [""]
    return "\n".join(lines)


def _summary(kind: type) -> str:
    return inspect.getdoc(kind).split("\n\n")[0]


def _row(kind: type, field: dataclasses.Field) -> str:
    hint = typing.get_type_hints(kind, include_extras=True)[field.name]
    found = _range_of(hint)
    bounds = f"{found.low:g} to {found.high:g}" if found else ""
    unit = found.unit if found else ""
    shown = _type_name(hint).replace("|", "\\|")
    cells = [f"`{field.name}`", shown, bounds, unit, _default(field)]
    return f"| {' | '.join(cells)} | {_meaning(kind, field.name)} |"


def _range_of(hint: object) -> Range | None:
    extras = typing.get_args(hint)[1:]
    if typing.get_origin(hint) is not typing.Annotated:
        return None
    return next((e for e in extras if isinstance(e, Range)), None)


def _type_name(hint: object) -> str:
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is typing.Annotated:
        return _type_name(args[0])
    if origin is typing.Literal:
        return " or ".join(f"`{value}`" for value in args)
    if origin is tuple:
        return f"list of {_type_name(args[0])}"
    if origin is dict:
        return f"object of {_type_name(args[1])}"
    if origin is types.UnionType:
        return f"{_type_name(args[0])} or null"
    return {
        str: "string",
        int: "integer",
        float: "number",
        bool: "boolean",
    }.get(hint, getattr(hint, "__name__", str(hint)))


def _default(field: dataclasses.Field) -> str:
    if field.default_factory is not dataclasses.MISSING:
        return "empty"
    if field.default is dataclasses.MISSING:
        return "needed"
    if dataclasses.is_dataclass(field.default):
        return "its defaults"
    if field.default in ("", ()):
        return "empty"
    if isinstance(field.default, tuple):
        return ", ".join(f"`{value}`" for value in field.default)
    return f"`{str(field.default).lower()}`"


def _meaning(kind: type, name: str) -> str:
    found = dict(_ATTRIBUTE.findall(inspect.getdoc(kind)))
    return " ".join(found.get(name, "").split())


if __name__ == "__main__":
    print(render_reference(), end="")
