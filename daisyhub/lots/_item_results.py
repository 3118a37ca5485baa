"""Reward calls and results of items whose text is complete or given up."""

from daisyhub.lots._dispatch_state import DispatchState
from daisyhub.lots._item_failures import ItemIdentity
from daisyhub.lots._open_lot import OpenLot
from daisyhub.lots._run_states import Item
from daisyhub.lots._run_types import (
    CancelRun,
    FinishItem,
    LotOpened,
    RewardCallFailed,
    RewardCallSucceeded,
    StartRewardCall,
)
from daisyhub.lots._types import ItemResult, ResultState

__all__ = ["RETRY_DELAY_S", "ItemResults"]

# Seconds before a failed run or reward call of an item is retried.
RETRY_DELAY_S = 0.1
# Maximum delay of a further reward call, in seconds. The delay doubles with
# each call that no endpoint answered, as the reason may last, such as a missing
# route.
_MAX_REWARD_RETRY_DELAY_S = 2.0


class ItemResults:
    """Decides when items are finished.

    Args:
        state: Lots, engines and runs.
    """

    def __init__(self, state: DispatchState):
        self._state = state

    def score_items(self, lot: OpenLot, now_s: float) -> list[object]:
        """Starts the reward calls of whole texts, or finishes the items."""
        actions: list[object] = []
        for item_id, item in list(lot.to_score.items()):
            if now_s < item.retry_at_s:
                continue
            if item.spec.reward is not None and not item.place.is_read:
                continue
            del lot.to_score[item_id]
            if item.spec.reward is None:
                actions.append(self._complete(lot, item, ""))
                continue
            item.is_reward_pending = True
            actions.append(
                StartRewardCall(lot.opened.spec.head.lot_id, item.spec)
            )
        return actions

    def on_reward(
        self, event: RewardCallSucceeded | RewardCallFailed, now_s: float
    ) -> list[object]:
        """Handles the end of a reward call."""
        lot = self._state.lots.get(event.lot_id)
        item = lot.items.get(event.item_id) if lot else None
        if item is None or item.is_done:
            return []
        item.is_reward_pending = False
        if isinstance(event, RewardCallSucceeded):
            identity = self._state.identity(lot, item)
            self._state.failures.remove_rewards(identity)
            return [self._complete(lot, item, event.score)]
        item.reward_failures += event.is_endpoint_failure
        item.reward_obstacles += not event.is_endpoint_failure
        if event.is_endpoint_failure:
            is_exhausted = self._state.failures.add_reward(
                self._state.identity(lot, item), event.max_attempts
            )
            if is_exhausted or item.reward_failures >= event.max_attempts:
                return self.give_up(lot, item)
        delay_s = RETRY_DELAY_S * 2 ** max(0, item.reward_obstacles - 1)
        item.retry_at_s = now_s + min(delay_s, _MAX_REWARD_RETRY_DELAY_S)
        lot.requeue(item)
        return []

    def give_up_unstarted(self, lot: OpenLot, now_s: float) -> list[object]:
        """Gives up the items that still need a run."""
        due = [i for i in lot.to_run.values() if now_s >= i.retry_at_s]
        return [action for item in due for action in self.give_up(lot, item)]

    def give_up_exhausted(self, opened: LotOpened) -> list[object]:
        """Gives up items of a new lot that failed too often in earlier ones."""
        head = opened.spec.head
        lot = self._state.lots[head.lot_id]
        failures = self._state.failures
        return [
            action
            for item in list(lot.items.values() if failures else ())
            if failures.is_exhausted(
                self._state.identity(lot, item), head.max_attempts
            )
            for action in self.give_up(lot, item)
        ]

    def give_up_everywhere(self, identity: ItemIdentity) -> list[object]:
        """Gives up an item that failed for good, in all open lots."""
        actions: list[object] = []
        for lot, item in self._state.same_items(identity):
            for run_id in list(item.runs):
                self._state.remove_run(run_id)
                actions.append(CancelRun(run_id, "its item failed for good"))
            actions += self.give_up(lot, item)
        return actions

    def give_up(self, lot: OpenLot, item: Item) -> list[object]:
        """Finishes an item without a text."""
        result = ItemResult(
            item_id=item.spec.item_id, state=ResultState.GIVEN_UP
        )
        return [self._finish(lot, item, result)]

    def _complete(self, lot: OpenLot, item: Item, score: str) -> FinishItem:
        progress = item.progress
        result = ItemResult(
            item_id=item.spec.item_id,
            state=ResultState.COMPLETED,
            text="\n".join(progress.texts),
            versions=tuple(sorted(set(progress.versions))),
            score=score,
        )
        return self._finish(lot, item, result)

    def _finish(
        self, lot: OpenLot, item: Item, result: ItemResult
    ) -> FinishItem:
        item.is_done = True
        lot.to_run.pop(item.spec.item_id, None)
        lot.to_score.pop(item.spec.item_id, None)
        lot.unfinished_in_group[item.spec.group] -= 1
        return FinishItem(
            lot.opened.spec.head.lot_id,
            result,
            lot.unfinished_in_group[item.spec.group] == 0,
        )
