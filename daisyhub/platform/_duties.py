"""Builds the controllers of the duties that daemons share out."""

from collections.abc import Callable

from daisyhub.cluster import PeerTable
from daisyhub.duties import DutyController, DutyCore
from daisyhub.fleet_settings import FleetSettings
from daisyhub.logs import DecisionLog
from daisyhub.objects import ObjectStore

__all__ = ["ACCOUNTS_DUTY", "ROLLOUTS_DUTY", "build_duties"]

# The holder of the first runs lots and orders weight versions; that of the
# second reports usage, completes retirements and verifies watches.
ROLLOUTS_DUTY = "rollouts"
ACCOUNTS_DUTY = "accounts"
_MS_PER_S = 1000.0


def build_duties(
    cfg: FleetSettings,
    process: str,
    store: ObjectStore,
    peers: PeerTable,
    log: DecisionLog,
    *,
    is_cut_off: Callable[[], bool],
    has_adaptive_pool: Callable[[], bool],
) -> tuple[DutyController, DutyController]:
    """Returns the controllers of both duties, that for lots first.

    Args:
        cfg: Settings of the daemon.
        process: Id of its process; see `DutyCore`.
        store: Stores the duties' records.
        peers: The other daemons.
        log: Log of decisions.
        is_cut_off: Whether this daemon is cut off from the endpoints.
        has_adaptive_pool: Whether there is an adaptive pool, whose items go on
            while the store doesn't confirm the duty.
    """

    def build(duty: str, keeps_tenure: Callable[[], bool]) -> DutyController:
        term_s = cfg.lease_ms / _MS_PER_S
        return DutyController(
            duty,
            DutyCore(process, term_s, cfg.fencing_checked),
            store,
            peers,
            cfg.processor_speed,
            log,
            needs_endpoints=duty == ROLLOUTS_DUTY,
            is_cut_off=is_cut_off,
            keeps_tenure=keeps_tenure,
        )

    # The second duty has no work that may be done twice.
    return (
        build(ROLLOUTS_DUTY, has_adaptive_pool),
        build(ACCOUNTS_DUTY, lambda: False),
    )
