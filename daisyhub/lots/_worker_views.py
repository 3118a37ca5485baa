"""Lists the daemons that may execute tasks for the holder."""

from daisyhub.balancing import EndpointDirectory
from daisyhub.cluster import PeerTable
from daisyhub.lots._worker_pool_core import MAX_TASKS_PER_CORE, WorkerView

__all__ = ["list_workers"]


def list_workers(
    peers: PeerTable, directory: EndpointDirectory, speed: float
) -> tuple[WorkerView, ...]:
    """Returns the other daemons that execute tasks.

    None while the holder's processor can receive the streams of all engines.
    Daemons with a duty are left out, as theirs are busy, and those that are cut
    off from the endpoints.

    Args:
        peers: The other daemons.
        directory: The endpoints.
        speed: Processor speed available to the holder, in cores.
    """
    slots = sum(
        endpoint.entry.slots
        for endpoint in directory.all()
        if endpoint.entry.versions
    )
    if slots <= MAX_TASKS_PER_CORE * speed:
        return ()
    return tuple(
        WorkerView(p.daemon_id, p.ping.domain, p.ping.speed)
        for p in peers.live()
        if not p.ping.is_leaving and not p.ping.duties and not p.ping.is_cut_off
    )
