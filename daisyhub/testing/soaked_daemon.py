"""Starts a daemon for the soak: with a shifted clock, or broken on purpose.

`DAISYHUB_SOAK_CLOCK_S` shifts its time of day; `DAISYHUB_SOAK_BROKEN` names
one of `BROKEN`, which the soak must find.
"""

import signal

# As the daemon does it, before other imports take their time.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import os
import sys
import time

BROKEN = ("repeats", "lies", "forgets")


def _shift_clock(by_s: float) -> None:
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + by_s
    time.time_ns = lambda: real_time_ns() + int(by_s * 1e9)


def _break(variant: str) -> None:
    """Puts a fault into the product that a promise forbids."""
    # Imported here, as the clock must be shifted before.
    from daisyhub.exceptions import ErrorCode
    from daisyhub.gateway import _sender
    from daisyhub.lots import LotStore
    from daisyhub.objects import ObjectStoreError

    if variant == "repeats":
        # Requests that may run once are sent again after any failure.
        sound_plan = _sender.ForwardPlan
        _sender.ForwardPlan = lambda **kw: sound_plan(
            **{**kw, "idempotent": True}
        )
    elif variant == "lies":
        # A failure at an endpoint is told as a refusal that has not run.
        for code in (
            ErrorCode.ENDPOINT_FAILED,
            ErrorCode.ENDPOINT_TIMEOUT,
            ErrorCode.ANSWER_INCOMPLETE,
        ):
            code._value_ = (code.label, 503)
    elif variant == "forgets":
        # Results count as listed although the store didn't take them.
        sound_write = LotStore.write_chunk

        async def write_chunk(lots, lot_id, first, results):
            try:
                return await sound_write(lots, lot_id, first, results)
            except ObjectStoreError:
                return results

        LotStore.write_chunk = write_chunk
    else:
        raise ValueError(f"variant {variant!r} is none of {BROKEN}")


def _run() -> int:
    _shift_clock(float(os.environ.get("DAISYHUB_SOAK_CLOCK_S", "0")))
    variant = os.environ.get("DAISYHUB_SOAK_BROKEN", "")
    if variant:
        _break(variant)
    from daisyhub.platform.__main__ import main

    return main()


if __name__ == "__main__":
    sys.exit(_run())
