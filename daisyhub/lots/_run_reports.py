"""What operators and measurements get to know of the holder's runs."""

import time

from daisyhub.logs import DecisionLog
from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._holder_types import HeldLot, LotHolderDependencies
from daisyhub.lots._run_types import StartRun, StreamEventsReceived

__all__ = ["describe_order", "log_move", "log_order", "measure_engine"]


def describe_order(core: DispatchCore) -> dict[str, dict[str, object]]:
    """Returns the order of lots of adaptive pools, with its reasons."""
    return {
        order.work.head.lot_id: order.describe()
        for pool in sorted(core.adaptive_pools)
        for order in core.order_lots(pool, time.monotonic())
    }


def log_order(core: DispatchCore, log: DecisionLog) -> None:
    """Logs why items of lots of adaptive pools wait for a run."""
    for lot_id, reasons in describe_order(core).items():
        if reasons["waiting"]:
            log.record("lot_waits", lot=lot_id, **reasons)


def log_move(core: DispatchCore, log: DecisionLog, action: StartRun) -> None:
    """Logs that a run is to be replaced by one on another engine."""
    moved = core.find_run(action.moved_run)
    log.record(
        "run_moved",
        run=action.run,
        id=action.item.item_id,
        lot=action.lot_id,
        moved_run=action.moved_run,
        from_endpoint=moved.endpoint_id if moved else "",
        endpoint=action.endpoint_id,
        resume_after=action.resume_after,
        reason=action.reason,
    )


def measure_engine(
    core: DispatchCore,
    deps: LotHolderDependencies,
    lots: dict[str, HeldLot],
    event: StreamEventsReceived,
) -> None:
    """Has the engine of a run measured, unless it loads weights."""
    capacity = deps.capacity
    run = core.find_run(event.run)
    if capacity is None or run is None:
        return
    if not deps.is_loading(run.endpoint_id):
        model = lots[run.lot_id].head.model
        open_runs = core.open_run_count(run.endpoint_id)
        capacity.observe(run.endpoint_id, model, event, open_runs)
