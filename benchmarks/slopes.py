"""Measures the slopes that docs/CAPACITY.md is worked out from.

`python -m benchmarks.slopes [PART ...]` with parts among `tables`, `cores`,
`peers`, `catch_up`, `calls`, `daemons`; all of them by default. Processor
times are the process's own and do not count time spent waiting.
"""

import itertools
import sys
import time

from loguru import logger

from benchmarks.slope_calls import call_slopes
from benchmarks.slope_catch_up import catch_up_slopes
from benchmarks.slope_cores import core_slopes
from benchmarks.slope_daemons import daemon_slopes
from benchmarks.slope_members import member_slopes
from benchmarks.slope_peers import peer_slopes
from benchmarks.slope_tables import table_slopes
from benchmarks.slope_usage import usage_slopes

_PARTS = {
    "tables": (table_slopes,),
    "cores": (core_slopes, usage_slopes),
    "peers": (member_slopes, peer_slopes),
    "catch_up": (catch_up_slopes,),
    "calls": (call_slopes,),
    "daemons": (daemon_slopes,),
}


def main() -> None:
    """Prints every slope of the parts asked for."""
    logger.remove()
    for name in sys.argv[1:] or _PARTS:
        started_s = time.monotonic()
        for slope in itertools.chain.from_iterable(m() for m in _PARTS[name]):
            print("\n".join(slope.lines()), flush=True)
        took_s = time.monotonic() - started_s
        print(f"-- {name} took {took_s:.0f} s", flush=True)


if __name__ == "__main__":
    main()
