"""Renders docs/CONFIGURATION.md from the settings' and document's classes.

Run `python -m daisyhub.reference > docs/CONFIGURATION.md` after a change of
these classes; a test compares the page with them.
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

_SECTIONS = (
    (
        "The configuration document",
        "All daemons use the same document; `daisyhub apply` changes it. Each"
        " section is an object of entries by name. If `owners` lists a section,"
        " only its teams may change it; if `owners` isn't empty, it must also"
        " list itself. The format is JSON with comments and trailing commas;"
        " unknown and duplicate names are errors.",
        (Document, ClientAccount, ClientKey, Route, LotClass, EndpointPool),
    ),
    (
        "Settings of a daemon",
        "Read once at the start from the file given by `daisyhubd --settings`.",
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
        "The platform renders `deploy/settings.jsonc.tmpl` at each start;"
        " `python -m daisyhub.platform` reads the resulting file, whose path is"
        " in an environment variable set by the platform.",
        (FleetSettings,),
    ),
    (
        "Settings of the command line",
        "Read from the file given by `daisyhub --settings`.",
        (OperatorSettings,),
    ),
)
_ATTRIBUTE_DOC = re.compile(r"^    (\w+): (.*(?:\n        .*)*)", re.MULTILINE)


def render_reference() -> str:
    """Returns the page: the type, range, unit and default of each field."""
    lines = ["# Configuration", ""]
    for title, text, classes in _SECTIONS:
        lines += [f"## {title}", "", text, ""]
        for kind in classes:
            lines += [f"### {kind.__name__}", "", _get_summary(kind), ""]
            lines += ["| field | type | range | unit | default | meaning |"]
            lines += ["| --- | --- | --- | --- | --- | --- |"]
            lines += [_render_row(kind, f) for f in dataclasses.fields(kind)]
            lines += [""]
    return "\n".join(lines)


def _get_summary(kind: type) -> str:
    return inspect.getdoc(kind).split("\n\n")[0]


def _render_row(kind: type, field: dataclasses.Field) -> str:
    hint = typing.get_type_hints(kind, include_extras=True)[field.name]
    allowed = _get_range(hint)
    bounds = f"{allowed.low:g} to {allowed.high:g}" if allowed else ""
    unit = allowed.unit if allowed else ""
    type_name = _describe_type(hint).replace("|", "\\|")
    cells = [
        f"`{field.name}`",
        type_name,
        bounds,
        unit,
        _describe_default(field),
    ]
    return f"| {' | '.join(cells)} | {_get_meaning(kind, field.name)} |"


def _get_range(hint: object) -> Range | None:
    extras = typing.get_args(hint)[1:]
    if typing.get_origin(hint) is not typing.Annotated:
        return None
    return next((e for e in extras if isinstance(e, Range)), None)


def _describe_type(hint: object) -> str:
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is typing.Annotated:
        return _describe_type(args[0])
    if origin is typing.Literal:
        return " or ".join(f"`{value}`" for value in args)
    if origin is tuple:
        return f"list of {_describe_type(args[0])}"
    if origin is dict:
        return f"object of {_describe_type(args[1])}"
    if origin is types.UnionType:
        return f"{_describe_type(args[0])} or null"
    return {
        str: "string",
        int: "integer",
        float: "number",
        bool: "boolean",
    }.get(hint, getattr(hint, "__name__", str(hint)))


def _describe_default(field: dataclasses.Field) -> str:
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


def _get_meaning(kind: type, name: str) -> str:
    descriptions = dict(_ATTRIBUTE_DOC.findall(inspect.getdoc(kind)))
    return " ".join(descriptions.get(name, "").split())


if __name__ == "__main__":
    print(render_reference(), end="")
