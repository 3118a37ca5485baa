"""Runs a case: its record, its end, and the exit code of its script."""

import asyncio
import os
import pathlib
import signal
import sys
import time
from collections.abc import Awaitable, Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Time for the whole case, below the two minutes that a script may take.
_LIMIT_S = 110.0


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes a line."""
        print(f"{self.now_s():8.3f} {text}", file=self._file, flush=True)


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    script: str, play: Callable[[Record], Awaitable[list[str]]]
) -> None:
    """Plays a case and exits.

    Args:
        script: Path of the script, beside which the record is written.
        play: Plays the case and returns what broke the rule, a line each.
    """
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record.write(f"trouble: {has_trouble()}")
    try:
        broken = asyncio.run(_play_in_time(play, record))
    except (Exception, asyncio.CancelledError) as exc:
        record.write(f"the case couldn't run: {exc!r}")
        sys.exit(NOT_RUN)
    for line in broken:
        record.write(f"BROKEN {line}")
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _play_in_time(play, record: Record) -> list[str]:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # The case ends its processes before it exits.
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    async with asyncio.timeout(_LIMIT_S):
        return await play(record)
