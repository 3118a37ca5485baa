"""Starts a daemon for the soak, with a shifted clock or an injected bug.

`DAISYHUB_SOAK_CLOCK_S` shifts the wall clock by seconds; `DAISYHUB_SOAK_IP` is
the loopback address that the daemon connects from, by which links tell daemons
apart; `DAISYHUB_SOAK_BROKEN` names a bug of `BROKEN`, which the soak must
detect.
"""

import signal

# Before the slow imports, as in the daemon: a SIGHUP that arrives during them
# would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import dataclasses
import os
import sys
import time

BROKEN = ("repeats", "lies", "forgets", "promises", "mixes", "lingers")


def _shift_clock(offset_s: float) -> None:
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + offset_s
    time.time_ns = lambda: real_time_ns() + int(offset_s * 1e9)


def _connect_from(ip: str) -> None:
    """Has all HTTP connections come from this address."""
    from httpcore import AnyIOBackend

    connect_tcp = AnyIOBackend.connect_tcp

    async def connect_from(backend, host, port, timeout=None, **options):
        options["local_address"] = ip
        return await connect_tcp(backend, host, port, timeout, **options)

    AnyIOBackend.connect_tcp = connect_from


def _inject_bug(bug: str) -> None:
    """Injects a bug into the product that violates one of its guarantees."""
    if bug in _ENDPOINT_BUGS:
        _ENDPOINT_BUGS[bug]()
        return
    # Imported here because the clock must be shifted first.
    from daisyhub.catalog import RouteKind
    from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
    from daisyhub.gateway import _sender
    from daisyhub.lots import LotStore, SubmittedLotsFilter
    from daisyhub.objects import ObjectStoreError

    if bug == "repeats":
        # Non-idempotent requests are retried after any failure.
        original_plan = _sender.ForwardPlan
        _sender.ForwardPlan = lambda **kw: original_plan(
            **{**kw, "idempotent": True}
        )
    elif bug == "lies":
        # A failure at an endpoint gets a status that means "has not run", and
        # the gateway doesn't check that it may.
        ErrorCode.promises_not_run = False
        for code in (
            ErrorCode.ENDPOINT_FAILED,
            ErrorCode.ENDPOINT_TIMEOUT,
            ErrorCode.ANSWER_INCOMPLETE,
        ):
            code._value_ = (code.label, 503)
    elif bug == "forgets":
        # Results are listed although the store rejected the write.
        original_write = LotStore.write_chunk

        async def write_chunk(lots, lot_id, first, results):
            try:
                return await original_write(lots, lot_id, first, results)
            except ObjectStoreError:
                return results

        LotStore.write_chunk = write_chunk
    elif bug == "promises":
        # A submission of unknown outcome gets a status that means "not stored".
        original_handle = SubmittedLotsFilter.handle

        async def handle(lots_filter, req, call_next):
            try:
                return await original_handle(lots_filter, req, call_next)
            except Refusal as exc:
                if req.lot_call or req.route.kind is not RouteKind.ROLLOUT:
                    raise
                error = ErrorCode.PLATFORM_UNAVAILABLE
                raise Refusal(
                    error, exc.detail, ran=ExecutionStatus.NOT_RUN
                ) from exc

        SubmittedLotsFilter.handle = handle
    else:
        raise ValueError(f"bug {bug!r} is not one of {BROKEN}")


def _mix_releases() -> None:
    """All endpoints of a pool count as one release."""
    from daisyhub.platform import _server_list

    read_server = _server_list.read_server
    _server_list.read_server = lambda *args: dataclasses.replace(
        read_server(*args), software="any"
    )


def _keep_endpoints() -> None:
    """Endpoints stay in use when they leave."""
    from daisyhub.balancing import EndpointDirectory

    original_upsert = EndpointDirectory.upsert
    EndpointDirectory.upsert = lambda directory, entry: original_upsert(
        directory, dataclasses.replace(entry, is_leaving=False)
    )
    EndpointDirectory.remove = lambda *args, **kwargs: None


_ENDPOINT_BUGS = {"mixes": _mix_releases, "lingers": _keep_endpoints}


def _run() -> int:
    _shift_clock(float(os.environ.get("DAISYHUB_SOAK_CLOCK_S", "0")))
    ip = os.environ.get("DAISYHUB_SOAK_IP", "")
    if ip:
        _connect_from(ip)
    bug = os.environ.get("DAISYHUB_SOAK_BROKEN", "")
    if bug:
        _inject_bug(bug)
    from daisyhub.platform.__main__ import main

    return main()


if __name__ == "__main__":
    sys.exit(_run())
