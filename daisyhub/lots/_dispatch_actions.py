"""Carries out what the dispatch core decides."""

from collections.abc import Callable

from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._run_reports import log_move
from daisyhub.lots._run_types import (
    CancelRewardCall,
    CancelRun,
    FinishItem,
    StartRewardCall,
    StartRun,
)

__all__ = ["ItemSink", "carry_out"]

ItemSink = Callable[[HeldLot, FinishItem], None]


def carry_out(
    action: object,
    core: DispatchCore,
    deps: LotHolderDependencies,
    lots: dict[str, HeldLot],
    on_finished: ItemSink,
) -> None:
    """Carries out one action of the dispatch core.

    Args:
        action: The action.
        core: The core that decided it.
        deps: The objects that the holder depends on.
        lots: The lots of the holder, by id.
        on_finished: Called with the lot of an item that is finished.
    """
    match action:
        case StartRun():
            head = lots[action.lot_id].head
            if action.moved_run:
                log_move(core, deps.log, action)
            deps.pool.start_run(action, head, max(1.0, head.max_wait_s))
        case CancelRun(run, reason):
            deps.log.record("run_cancelled", run=run, reason=reason)
            deps.pool.cancel_run(run)
        case StartRewardCall():
            deps.pool.start_reward(action)
        case CancelRewardCall(lot_id, item_id):
            deps.log.record("reward_cancelled", lot=lot_id, id=item_id)
            deps.pool.cancel_reward(lot_id, item_id)
        case FinishItem():
            on_finished(lots[action.lot_id], action)
