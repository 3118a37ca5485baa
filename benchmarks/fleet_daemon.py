"""Measures idle cost, processor time per look-up and start-up time of a daemon.

Run `python -m benchmarks.fleet_daemon`. Starts real daemons on loopback with a
fake of the users' platform. Processor times are those of one daemon's process.
"""

import os
import pathlib
import sys
import time

import anyio
from absl import app

from daisyhub.testing.fleet import KEY, Fleet

_IDLE_S = 10.0
_REQUEST_COUNT = 400
# Upper bounds, printed next to the measured figures and not enforced.
_TARGETS = {
    "ready after, s": 1.0,
    "at rest, % of a core": 1.1,
    "memory at rest, MB": 64.0,
    "processor time a look-up, ms": 1.5,
}


def _processor_s(pid: int) -> float:
    """Returns the processor time of a process, seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, MB."""
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    pages = int(statm.split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _measure(fleet: Fleet) -> dict[str, float]:
    """Returns the figures of the first daemon, with the keys of `_TARGETS`."""
    name = fleet.daemon_names[0]
    pid = fleet.processes[name].pid
    await fleet.holder()  # Waits until a daemon has the duty `rollouts`.
    await anyio.sleep(2.0)
    before_s = _processor_s(pid)
    await anyio.sleep(_IDLE_S)
    idle_processor_s = _processor_s(pid) - before_s
    memory_mb = _resident_mb(pid)
    before_s = _processor_s(pid)
    headers = (
        (b"host", b"a.example"),
        (b"daisyhub-request-id", b"q"),
        (b"daisyhub-deadline-ms", b"4000"),
        (b"api-key", KEY.encode()),
    )
    for number in range(_REQUEST_COUNT):
        await fleet.http.request(
            "POST",
            fleet.address(f"{name}/front"),
            f"/records/{number}",
            headers=headers,
            timeout_s=5.0,
        )
    request_processor_s = _processor_s(pid) - before_s
    fleet.processes[name].kill()
    fleet.processes[name].wait()
    started_s = time.monotonic()
    fleet.start_daemon(name)
    await fleet.wait_until_ready(name)
    return {
        "ready after, s": time.monotonic() - started_s,
        "at rest, % of a core": 100 * idle_processor_s / _IDLE_S,
        "memory at rest, MB": memory_mb,
        "processor time a look-up, ms": 1000
        * request_processor_s
        / _REQUEST_COUNT,
    }


async def _main() -> None:
    fleet = Fleet(daemons=3, servers=2, event_s=0.002)
    try:
        await fleet.start()
        for label, value in (await _measure(fleet)).items():
            print(f"{label}: {value:.2f} (target {_TARGETS[label]:g})")
    finally:
        await fleet.http.aclose()
        fleet.stop()


def _run(_: list[str]) -> int:
    anyio.run(_main)
    return 0


if __name__ == "__main__":
    sys.exit(app.run(_run))
