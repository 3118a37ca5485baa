"""An open lot, and the texts of its items that runs generated."""

import dataclasses

from daisyhub.lots._item_bodies import without_bodies
from daisyhub.lots._run_states import Item, Progress, Run
from daisyhub.lots._run_types import LotOpened
from daisyhub.lots._types import ItemSpec, LotHead

__all__ = [
    "OpenLot",
    "reusable_progress",
    "update_progress",
    "violates_single_version",
]


@dataclasses.dataclass(slots=True)
class OpenLot:
    """An open lot.

    Attributes:
        opened: The event that opened it, with the pool that serves it now.
        items: Items that weren't listed when it was opened, by id, in the
            order in which they are to start.
        unfinished_in_group: Number of items without a result, by group.
        to_run: The items that need a run, in the order in which to start them
            if `is_sorted`.
        to_score: The items with a whole text that need a reward call.
        is_sorted: Whether no item returned to `to_run` since it was sorted.
        is_in_order: Whether no item returned to `to_run` since the items of
            its adaptive pool were last put in order.
        bodies_bytes: Size of the bodies of its items.
        read_bytes: Size of those that are in memory.
    """

    opened: LotOpened
    items: dict[str, Item]
    unfinished_in_group: dict[str, int]
    to_run: dict[str, Item] = dataclasses.field(default_factory=dict)
    to_score: dict[str, Item] = dataclasses.field(default_factory=dict)
    is_sorted: bool = True
    is_in_order: bool = False
    bodies_bytes: int = 0
    read_bytes: int = 0

    @property
    def is_read(self) -> bool:
        """Whether the bodies of all of its items are in memory."""
        return self.read_bytes == self.bodies_bytes

    def add_bodies(self, spec: ItemSpec) -> None:
        """Completes an item, unless it is complete or unknown."""
        item = self.items.get(spec.item_id)
        if item is None or item.place.is_read:
            return
        item.spec = spec
        item.place = dataclasses.replace(item.place, is_read=True)
        self.read_bytes += item.place.size

    def drop_bodies(self, item_id: str) -> None:
        """Drops the bodies of an item, which can be read again."""
        item = self.items[item_id]
        item.spec = without_bodies(item.spec)
        item.place = dataclasses.replace(item.place, is_read=False)
        self.read_bytes -= item.place.size

    def requeue(self, item: Item) -> None:
        """Adds an item to the queue of what it needs next, if anything."""
        item_id = item.spec.item_id
        if item.is_done or item.runs or item.is_reward_pending:
            return
        if item.progress.is_whole:
            self.to_score[item_id] = item
        elif item_id not in self.to_run:
            self.to_run[item_id] = item
            self.is_sorted = self.is_in_order = False

    def sort(self) -> None:
        """Restores the order of `to_run`."""
        if self.is_sorted:
            return
        self.to_run = dict(
            sorted(self.to_run.items(), key=lambda entry: entry[1].rank)
        )
        self.is_sorted = True


def update_progress(item: Item, run: Run) -> None:
    """Replaces an item's text by a run's if that is longer."""
    if item.progress.is_whole or len(run.texts) <= len(item.progress.texts):
        return
    item.progress = Progress(
        tuple(run.texts), tuple(run.versions), release=run.release
    )


def reusable_progress(progress: Progress, head: LotHead) -> Progress:
    """Returns the text if the lot accepts its versions, else no text.

    A partial text that must come from a single version is discarded: all
    engines may serve the next version by the time it would be resumed.
    """
    if not progress.versions or min(progress.versions) < head.oldest_version:
        return Progress()
    is_mixed = len(set(progress.versions)) > 1
    if head.is_single_version and (is_mixed or not progress.is_whole):
        return Progress()
    return progress


def violates_single_version(
    head: LotHead, known: list[int], versions: tuple[int, ...]
) -> bool:
    """Whether events mix versions in a lot that requires just one."""
    return head.is_single_version and len({*known[-1:], *versions}) > 1
