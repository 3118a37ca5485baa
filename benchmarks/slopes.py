"""Measures the cost slopes from which docs/CAPACITY.md is calculated.

Run `python -m benchmarks.slopes [PART ...]`. The parts are `tables`, `cores`,
`peers`, `catch_up`, `calls` and `daemons`; all of them run by default.
Processor times are those of the measured process and exclude waiting.
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
    """Prints the slopes of the requested parts."""
    logger.remove()
    for name in sys.argv[1:] or _PARTS:
        started_s = time.monotonic()
        for slope in itertools.chain.from_iterable(
            measure() for measure in _PARTS[name]
        ):
            print("\n".join(slope.lines()), flush=True)
        elapsed_s = time.monotonic() - started_s
        print(f"-- {name} took {elapsed_s:.0f} s", flush=True)


if __name__ == "__main__":
    main()
