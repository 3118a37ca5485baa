"""Holds trainer lots, or passes calls on to the daemon that holds them."""

import contextlib

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.controllers._lot_server import (
    LotServer,
    LotServerDependencies,
    decode_body,
)
from daisyhub.controllers._lot_specs import LotSpecStore
from daisyhub.exceptions import (
    ErrorCode,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.hosting import LeaseRecord, PlatformObject
from daisyhub.logs import get_logger
from daisyhub.peers import (
    LotCallRequest,
    LotCallResponse,
    PeerNetwork,
    PeerUnreachableError,
)
from daisyhub.problems import problem_body
from daisyhub.rollouts import LotSpec, OpenBody

__all__ = ["LotController"]

_FORWARD_TIMEOUT_S = 65.0
_TAKE_WAIT_S = 2.0
_RETRY_S = 1.0
_SEATS_TO_START = 1024
_KNOWN_HOLDERS = 4096

log = get_logger("lots")


class LotController(Controller):
    """Serves trainers' calls.

    Args:
        tools: What a seat needs.
        network: Reaches the holders of other lots.
    """

    name = "lots"

    def __init__(self, tools: LotServerDependencies, network: PeerNetwork):
        self._tools = tools
        self._network = network
        self._specs = LotSpecStore(tools.client)
        self._seats: dict[str, LotServer] = {}
        self._holders: dict[str, str] = {}
        self._is_released = False
        self._new_seats, self._to_run = anyio.create_memory_object_stream[
            LotServer
        ](_SEATS_TO_START)

    def status(self) -> dict[str, object]:
        """Tells the lots held here."""
        return {
            lot_id: seat.status()
            for lot_id, seat in sorted(self._seats.items())
        }

    async def run(self) -> None:
        """Runs seats until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for seat in self._to_run:
                tasks.start_soon(self._run_seat, seat)

    async def release(self) -> None:
        """Gives every lot up at shutdown; waiting calls end at once."""
        self._is_released = True
        async with anyio.create_task_group() as tasks:
            for seat in list(self._seats.values()):
                tasks.start_soon(seat.release)

    async def serve(self, call: LotCallRequest) -> LotCallResponse:
        """Serves a trainer's call here or at the lot's holder.

        Raises:
            Refusal: With the final answer for the trainer.
        """
        try:
            seat = self._seats.get(call.lot_id)
            if seat is not None and seat.is_serving:
                return await seat.serve(call)
            answer = await self._ask_holder(call)
            if answer is not None:
                return answer
            seat = await self._take_seat(call)
            return await self._serve_here(seat, call)
        except PlatformUnavailableError as exc:
            raise Refusal(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the platform does not answer",
                retry_after_s=_RETRY_S,
            ) from exc

    async def handle_forwarded_call(
        self, call: LotCallRequest
    ) -> LotCallResponse:
        """Serves a call that a peer passed on; never passes it further."""
        seat = self._seats.get(call.lot_id)
        if seat is None or not seat.is_serving:
            return _elsewhere_answer()
        try:
            return await seat.serve(call)
        except Refusal as exc:
            if exc.error is ErrorCode.LOT_ELSEWHERE:
                return _elsewhere_answer()
            return LotCallResponse(
                status=exc.error.status,
                body=problem_body(exc, call.lot_id),
                retry_after_s=exc.retry_after_s,
            )

    async def _serve_here(
        self, seat: LotServer, call: LotCallRequest
    ) -> LotCallResponse:
        with anyio.move_on_after(_TAKE_WAIT_S):
            await seat.ready.wait()
        if not seat.is_serving:
            raise _being_taken()
        return await seat.serve(call)

    async def _ask_holder(self, call: LotCallRequest) -> LotCallResponse | None:
        """Returns the holder's answer, or None if no holder answers.

        While the platform is down, the holder last seen is asked.
        """
        key = f"leases/lots/{call.lot_id}"
        found = None
        try:
            found = await self._tools.client.get(key)
            daemon_id = _holder_of(found)
        except PlatformUnavailableError:
            if call.lot_id not in self._holders:
                raise
            daemon_id = self._holders[call.lot_id]
        if not daemon_id or daemon_id == self._tools.cfg.daemon_id:
            return None
        self._note_holder(call.lot_id, daemon_id)
        answer = None
        async with anyio.create_task_group() as tasks:
            if found is not None:
                tasks.start_soon(self._watch, found, tasks.cancel_scope)
            with contextlib.suppress(PeerUnreachableError):
                answer = await self._network.call(
                    daemon_id, call, _FORWARD_TIMEOUT_S
                )
            tasks.cancel_scope.cancel()
        if answer is None or answer.is_elsewhere:
            return None
        return answer

    def _note_holder(self, lot_id: str, daemon_id: str) -> None:
        if len(self._holders) >= _KNOWN_HOLDERS:
            self._holders.clear()
        self._holders[lot_id] = daemon_id

    async def _watch(self, lease: PlatformObject, scope) -> None:
        """Cancels `scope` once a lease wasn't renewed for a whole term."""
        timing = self._tools.cfg.timing
        version = lease.version
        while True:
            await anyio.sleep(timing.lease_term_s + timing.lease_margin_s)
            with contextlib.suppress(PlatformUnavailableError):
                found = await self._tools.client.get(lease.key)
                if found is None or found.version == version:
                    scope.cancel()
                    return
                version = found.version

    async def _take_seat(self, call: LotCallRequest) -> LotServer:
        spec = await self._find_spec(call)
        if spec.account != call.account:
            raise _unknown_lot()
        if self._is_released:
            raise _being_taken()
        seat = self._seats.get(call.lot_id)
        if seat is None:
            seat = LotServer(spec, self._tools)
            self._seats[call.lot_id] = seat
            await self._new_seats.send(seat)
        return seat

    async def _find_spec(self, call: LotCallRequest) -> LotSpec:
        spec = await self._specs.find(call.lot_id)
        if spec is not None:
            return spec
        if call.verb != "open":
            raise _unknown_lot()
        return await self._specs.create(self._new_spec(call))

    def _new_spec(self, call: LotCallRequest) -> LotSpec:
        body = decode_body(call.body, OpenBody)
        lots = self._tools.config.document.trainer_lots
        lot_class = lots.get(body.lot_class)
        if lot_class is None or lot_class.account != call.account:
            raise _unknown_lot()
        return LotSpec(
            lot_id=call.lot_id,
            lot_class=body.lot_class,
            account=lot_class.account,
            pool=lot_class.pool,
            prompts=body.prompts,
            group_size=lot_class.group_size,
            max_staleness=lot_class.max_staleness,
            max_tokens=lot_class.max_tokens,
            concurrency=lot_class.concurrency,
            spare_samples=lot_class.spare_samples,
            sample_timeout_s=lot_class.sample_timeout_s,
        )

    async def _run_seat(self, seat: LotServer) -> None:
        try:
            await seat.run()
        finally:
            if self._seats.get(seat.spec.lot_id) is seat:
                del self._seats[seat.spec.lot_id]


def _holder_of(found: PlatformObject | None) -> str:
    if found is None:
        return ""
    holder = msgspec.convert(found.value, LeaseRecord).holder
    return holder.partition("/")[0]


def _unknown_lot() -> Refusal:
    return Refusal(ErrorCode.LOT_UNKNOWN, "there is no such lot")


def _being_taken() -> Refusal:
    return Refusal(
        ErrorCode.LOT_ELSEWHERE,
        "the lot is being taken over",
        retry_after_s=_RETRY_S,
    )


def _elsewhere_answer() -> LotCallResponse:
    return LotCallResponse(
        status=ErrorCode.LOT_ELSEWHERE.status, body=b"", is_elsewhere=True
    )
