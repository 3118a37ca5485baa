"""Orders the items of open lots by the need for their bodies."""

from collections.abc import Iterable

from daisyhub.lots._body_plan import BodyNeed, interleave
from daisyhub.lots._dispatch_state import DispatchState
from daisyhub.lots._open_lot import OpenLot
from daisyhub.lots._run_states import Item

__all__ = ["list_needs"]

# Key of the items whose text is whole; they need the body of the reward call.
_SCORED = "scored"


def list_needs(
    state: DispatchState,
    waiting: Iterable[tuple[OpenLot, Iterable[Item]]],
    now_s: float,
) -> list[BodyNeed]:
    """Returns all items with bodies, the most needed first.

    First come those for which an engine has a free slot, then those that start
    later, then those that have begun, which need their bodies only if the run
    fails, then those that no engine can run now, and last those with a result.
    Items that need different engines are interleaved, as some of these may be
    free while others are busy for long.

    Args:
        state: Lots, engines and runs.
        waiting: The items that need a run, in the order in which they start.
        now_s: The time.
    """
    order = _Order(state, now_s)
    lots = sorted(state.lots.values(), key=lambda lot: lot.opened.due_at_s)
    for lot in lots:
        order.add_scored(lot)
    for lot, items in waiting:
        order.add_waiting(lot, items)
    for lot in lots:
        order.add_others(lot)
    return order.needs()


class _Order:
    """Collects the needs of items by their urgency, each item once."""

    def __init__(self, state: DispatchState, now_s: float):
        self._state = state
        self._now_s = now_s
        self._seen: set[tuple[str, str]] = set()
        # By what the items require of an engine.
        self._urgent: dict[object, list[BodyNeed]] = {}
        self._ahead: dict[object, list[BodyNeed]] = {}
        self._free_slots: dict[object, int | None] = {}
        self._begun: list[BodyNeed] = []
        self._blocked: list[BodyNeed] = []
        self._finished: list[BodyNeed] = []

    def add_scored(self, lot: OpenLot) -> None:
        """Adds the items whose text is whole."""
        for item in lot.to_score.values():
            is_due = self._now_s >= item.retry_at_s
            tier = self._urgent if is_due else self._ahead
            self._add(tier.setdefault(_SCORED, []), lot, item)

    def add_waiting(self, lot: OpenLot, items: Iterable[Item]) -> None:
        """Adds items that need a run."""
        head = lot.opened.spec.head
        key = (lot.opened.pool, head.model, head.oldest_version)
        if key not in self._free_slots:
            self._free_slots[key] = _free_slots(self._state, lot, self._now_s)
        for item in items:
            free = self._free_slots[key]
            if free is None:
                self._add(self._blocked, lot, item)
                continue
            self._free_slots[key] = free - 1
            tier = self._urgent if free > 0 else self._ahead
            self._add(tier.setdefault(key, []), lot, item)

    def add_others(self, lot: OpenLot) -> None:
        """Adds the items that weren't added before."""
        for item in lot.items.values():
            if not item.is_done:
                self._add(self._begun, lot, item)
            elif item.place.is_read:
                self._add(self._finished, lot, item)

    def needs(self) -> list[BodyNeed]:
        """Returns all of them, the most needed first."""
        return [
            *interleave(self._urgent),
            *interleave(self._ahead),
            *self._begun,
            *self._blocked,
            *self._finished,
        ]

    def _add(self, needs: list[BodyNeed], lot: OpenLot, item: Item) -> None:
        key = (lot.opened.spec.head.lot_id, item.spec.item_id)
        if not item.place.size or key in self._seen:
            return
        self._seen.add(key)
        place = item.place
        needs.append(BodyNeed(*key, place.part, place.size, place.is_read))


def _free_slots(state: DispatchState, lot: OpenLot, now_s: float) -> int | None:
    """Returns the free slots for a lot; None if no engine can run it."""
    head = lot.opened.spec.head
    engines = [
        engine
        for engine in state.engines.values()
        if engine.view.pool == lot.opened.pool
        and engine.view.versions.get(head.model, 0) >= head.oldest_version
    ]
    if not engines:
        return None
    return sum(
        max(0, engine.view.slots - len(engine.runs))
        for engine in engines
        if now_s >= engine.backoff_until_s
    )
