"""Measures how a rolling release goes under load.

Three daemons and three servers as processes on loopback. Each server in turn
announces its leaving, is killed after `drain-ms`, and is replaced at its old
address; the list shows its leaving late. Reports the seconds from the first
announcing response to the last request sent to that process, at the daemon that
passed on the response and at its peers, and the requests lost. Run with
`python -m benchmarks.leaving`; `--build` measures the daemons of another
working tree.
"""

import statistics
import sys

import anyio
from absl import app, flags

from daisyhub.testing.fleet import Fleet
from daisyhub.testing.rolling_release import (
    EndedProcess,
    RollingRelease,
    SteadyCalls,
)

_BUILD = flags.DEFINE_string(
    "build", "", "Working tree with the daemons; by default this one."
)
_LIST_LAG_S = flags.DEFINE_float(
    "list_lag_s", 1.0, "Seconds by which the list lags behind."
)
_REPEATS = flags.DEFINE_integer("repeats", 2, "Number of releases.")
_CALLERS = flags.DEFINE_integer("callers", 4, "Callers of each daemon.")


def _tails_s(
    calls: SteadyCalls, fleet: Fleet, ended: EndedProcess
) -> tuple[float, list[float]]:
    """Returns how long requests went on after the first announcing response.

    Args:
        calls: All calls.
        fleet: The fleet.
        ended: The process that announced.

    Returns:
        Seconds at the daemon that passed on this response, and at each peer; 0
        if none was sent later.
    """
    announced_s = {
        daemon: calls.announced_s(daemon, ended.executed)
        for daemon in fleet.daemon_names
    }
    first = min(announced_s, key=announced_s.get)
    tails_s = {
        daemon: max(
            (
                call.sent_s - announced_s[first]
                for call in calls.sent_after(
                    announced_s[first], daemon, ended.executed
                )
            ),
            default=0.0,
        )
        for daemon in fleet.daemon_names
    }
    return tails_s.pop(first), list(tails_s.values())


async def _measure(repeat: int) -> None:
    fleet = Fleet(servers=3)
    if _BUILD.value:
        # Without the safe path, the working directory precedes PYTHONPATH.
        env = {"PYTHONPATH": _BUILD.value, "PYTHONSAFEPATH": "1"}
        fleet.daemon_env = dict.fromkeys(fleet.daemon_names, env)
    try:
        await fleet.start()
        calls = SteadyCalls(fleet)
        release = RollingRelease(fleet, _LIST_LAG_S.value)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(calls.run, _CALLERS.value)
            await release.run()
            tasks.cancel_scope.cancel()
    finally:
        await fleet.http.aclose()
        fleet.stop()
    firsts_s, peers_s = [], []
    for ended in release.ended:
        first_s, others_s = _tails_s(calls, fleet, ended)
        firsts_s.append(first_s)
        peers_s += others_s
    latencies_s = sorted(
        call.answered_s - call.sent_s for call in calls.by_id.values()
    )
    statuses = sorted({call.status for call in calls.failed()})
    print(
        f"release {repeat}: last request after the announcing response: "
        f"same daemon {statistics.mean(firsts_s):.3f} s mean, "
        f"{max(firsts_s):.3f} s most; "
        f"peers {statistics.mean(peers_s):.3f} s mean, "
        f"{max(peers_s):.3f} s most; lost {len(calls.failed())} of "
        f"{len(calls.by_id)} requests {statuses or ''}; median "
        f"{statistics.median(latencies_s):.3f} s, most "
        f"{latencies_s[-1]:.3f} s",
        flush=True,
    )


def _main(argv: list[str]) -> None:
    if len(argv) > 1:
        sys.exit(f"unexpected arguments: {argv[1:]}")
    print(
        f"daemons of {_BUILD.value or 'this build'}; the list lags "
        f"{_LIST_LAG_S.value} s behind"
    )
    for repeat in range(_REPEATS.value):
        anyio.run(_measure, repeat)


if __name__ == "__main__":
    app.run(_main)
