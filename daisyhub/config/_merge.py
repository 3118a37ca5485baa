"""Three-way merge of configuration sections, entry by entry."""

import dataclasses

from daisyhub.config._parts import Sections

__all__ = ["MergeResult", "changed_sections", "merge_sections"]

_ABSENT = object()


@dataclasses.dataclass(frozen=True, slots=True)
class MergeResult:
    """What a merge came to.

    Attributes:
        sections: All sections after the merge.
        conflicts: (section, entry) pairs that both sides changed otherwise.
    """

    sections: Sections
    conflicts: tuple[tuple[str, str], ...]


def merge_sections(
    base: Sections, head: Sections, wanted: Sections
) -> MergeResult:
    """Carries the changes from `base` to `wanted` over to `head`.

    Sections that `wanted` leaves out count as unchanged, entries that a
    given section leaves out as removed. What wasn't changed relative to
    `base` stays as it is in `head`.
    """
    merged = {name: dict(entries) for name, entries in head.items()}
    conflicts = []
    for section, entries in wanted.items():
        base_entries = base.get(section, {})
        target = merged.setdefault(section, {})
        for name in sorted(base_entries.keys() | entries.keys()):
            old = base_entries.get(name, _ABSENT)
            new = entries.get(name, _ABSENT)
            now = target.get(name, _ABSENT)
            if new in (old, now):
                continue
            if now != old:
                conflicts.append((section, name))
            elif new is _ABSENT:
                del target[name]
            else:
                target[name] = new
    return MergeResult(merged, tuple(conflicts))


def changed_sections(old: Sections, new: Sections) -> tuple[str, ...]:
    """Returns the names of the sections that differ, sorted."""
    names = old.keys() | new.keys()
    return tuple(
        name for name in sorted(names) if old.get(name, {}) != new.get(name, {})
    )
