"""Three-way merge of configuration sections, entry by entry."""

import dataclasses

from daisyhub.config._parts import Sections

__all__ = ["MergeResult", "changed_sections", "merge_sections"]

_ABSENT = object()


@dataclasses.dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of a merge.

    Attributes:
        sections: All sections after the merge.
        conflicts: (section, entry) pairs that both sides changed differently.
    """

    sections: Sections
    conflicts: tuple[tuple[str, str], ...]


def merge_sections(
    base: Sections, head: Sections, requested: Sections
) -> MergeResult:
    """Applies the changes between `base` and `requested` to `head`.

    A section that `requested` omits is unchanged; an entry that a requested
    section omits is removed. Entries that equal those of `base` keep their
    content in `head`, and so do entries in conflict.
    """
    merged = {name: dict(entries) for name, entries in head.items()}
    conflicts = []
    for section, entries in requested.items():
        base_entries = base.get(section, {})
        target = merged.setdefault(section, {})
        for name in sorted(base_entries.keys() | entries.keys()):
            old = base_entries.get(name, _ABSENT)
            new = entries.get(name, _ABSENT)
            current = target.get(name, _ABSENT)
            if new in (old, current):
                continue
            if current != old:
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
