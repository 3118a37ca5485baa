"""Chooses the items whose bodies the holder keeps in memory.

The load: open lots whose bodies don't fit into the memory of a process. All of
them are accepted, so that none may be refused any more, and a lot that can't
run now, or has begun and waits, must not keep another one from running.
Therefore bodies are kept by item, in the order in which they are needed, and no
item waits for the end of a lot.
"""

import dataclasses
import heapq
from collections.abc import Iterable, Iterator, Mapping

__all__ = ["BodyNeed", "BodyPlan", "interleave", "plan_bodies"]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyNeed:
    """An item whose bodies are needed, or may be.

    Attributes:
        lot_id: Its lot.
        item_id: The item.
        part: Number of the part that contains its bodies.
        size: Size of its bodies in bytes.
        is_read: Whether they are in memory.
    """

    lot_id: str
    item_id: str
    part: int
    size: int
    is_read: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPlan:
    """What to read and what to drop.

    Attributes:
        reads: Items whose bodies are to be read, the most needed first.
        drops: Items whose bodies make room for these.
    """

    reads: tuple[BodyNeed, ...] = ()
    drops: tuple[BodyNeed, ...] = ()


def plan_bodies(needs: Iterable[BodyNeed], limit_bytes: int) -> BodyPlan:
    """Returns which bodies to read and to drop.

    The first item always fits, whatever its size.

    Args:
        needs: All items with bodies, the most needed first.
        limit_bytes: Maximum size of the bodies in memory.
    """
    wanted_bytes = 0
    read_bytes = 0
    reads: list[BodyNeed] = []
    spare: list[BodyNeed] = []
    for need in needs:
        is_wanted = not wanted_bytes or wanted_bytes + need.size <= limit_bytes
        if is_wanted:
            wanted_bytes += need.size
        read_bytes += need.size if need.is_read else 0
        if is_wanted and not need.is_read:
            reads.append(need)
        if need.is_read and not is_wanted:
            spare.append(need)
    drops: list[BodyNeed] = []
    excess = read_bytes + sum(need.size for need in reads) - limit_bytes
    while excess > 0 and spare:
        drops.append(spare.pop())
        excess -= drops[-1].size
    return BodyPlan(tuple(reads), tuple(drops))


def interleave(groups: Mapping[object, list[BodyNeed]]) -> Iterator[BodyNeed]:
    """Yields the needs of several groups so that each gets as many bytes.

    A group whose items are many or large delays none of another group.

    Args:
        groups: Needs in order; of equal groups, the first comes first.
    """
    queue = [
        (0, index, iter(needs)) for index, needs in enumerate(groups.values())
    ]
    while queue:
        taken, index, needs = queue[0]
        need = next(needs, None)
        if need is None:
            heapq.heappop(queue)
            continue
        heapq.heapreplace(queue, (taken + need.size, index, needs))
        yield need
