"""Prepares lots that were read for the dispatch core."""

import time
from collections.abc import Iterable

from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._item_failures import (
    ItemIdentity,
    digest_body,
    identify_item,
)
from daisyhub.lots._lot_order import trainer_lag_s
from daisyhub.lots._run_states import Progress
from daisyhub.lots._run_types import LotOpened
from daisyhub.lots._text_saver import TextCache
from daisyhub.lots._types import LotHead

__all__ = ["LotOpener"]


class LotOpener:
    """Adds what earlier lots and holders left of a lot's items.

    Args:
        deps: The objects that the holder depends on.
        texts: Texts of unfinished items of closed lots.
    """

    def __init__(self, deps: LotHolderDependencies, texts: TextCache):
        self._deps = deps
        self._texts = texts

    def add_texts(self, lot: HeldLot, progress: dict[str, Progress]) -> None:
        """Keeps texts that an earlier holder saved, by item id."""
        identities = _identify_items(lot)
        self._texts.add(
            {
                identities[item_id]: text
                for item_id, text in progress.items()
                if item_id in identities
            }
        )

    def open(
        self, lot: HeldLot, pool: str, heads: Iterable[LotHead], fencing: int
    ) -> LotOpened:
        """Returns the event that opens a lot.

        Args:
            lot: The lot, whose items were read.
            pool: The pool that serves it.
            heads: The lots that are known, for the schedule of its trainer.
            fencing: The holder's fencing number, for the log.
        """
        head = lot.head
        age_s = self._deps.clock.now_s() - head.accepted_s
        now_s = time.monotonic()
        lag_s = trainer_lag_s(head, heads)
        self._deps.log.record(
            "lot_opened",
            lot=head.lot_id,
            step=head.step,
            oldest_version=head.oldest_version,
            total=head.total,
            listed=len(lot.listing.listed),
            age_s=round(age_s, 3),
            lag_s=round(lag_s, 3),
            fencing=fencing,
        )
        return LotOpened(
            lot.spec,
            pool,
            now_s + head.due_s - age_s,
            now_s + max(0.0, head.max_wait_s - age_s),
            frozenset(r.item_id for r in lot.listing.listed),
            self._texts.of_items(_identify_items(lot)),
            lag_s,
            lot.places,
        )


def _identify_items(lot: HeldLot) -> dict[str, ItemIdentity]:
    """Returns the identities of a lot's items by their ids."""
    identities = {}
    for spec in lot.spec.items if lot.spec else ():
        place = lot.places.get(spec.item_id)
        digest = place.digest if place else digest_body(spec)
        identities[spec.item_id] = identify_item(lot.head, spec.item_id, digest)
    return identities
