"""Runs soak tests: `python -m daisyhub.testing.soak --seed=1 --runs=10`."""

import sys

import anyio
from absl import app, flags

from daisyhub.testing.soak._soak import Soak
from daisyhub.testing.soaked_daemon import BROKEN

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the first soak.")
_RUNS = flags.DEFINE_integer(
    "runs", 1, "Number of soaks, with consecutive seeds."
)
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "Seconds during which disturbances start."
)
_DAEMONS = flags.DEFINE_integer("daemons", 4, "Number of daemons.")
_SERVERS = flags.DEFINE_integer("servers", 3, "Number of servers.")
_BROKEN = flags.DEFINE_enum(
    "broken", "", ["", *BROKEN], "Bug to inject into the daemons."
)


def _run(_: list[str]) -> int:
    failed = 0
    for seed in range(_SEED.value, _SEED.value + _RUNS.value):
        soak = Soak(
            seed,
            _SECONDS.value,
            _DAEMONS.value,
            _SERVERS.value,
            _BROKEN.value,
        )
        report = anyio.run(soak.run)
        failed += bool(report.violations)
        verdict = "broken" if report.violations else "kept"
        print(f"seed {seed}: {verdict} {report.counts}", flush=True)
        for line in report.violations[:20]:
            print(f"  {line}")
        if report.logs:
            print(f"  logs: {report.logs}", flush=True)
    print(f"{_RUNS.value - failed} of {_RUNS.value} soaks kept all guarantees")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(_run))
