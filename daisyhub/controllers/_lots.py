"""Holds trainer lots, or passes calls on to the daemon that holds them."""

import contextlib
import dataclasses

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.controllers._lot_seat import (
    LotSeat,
    SeatTools,
    decode_body,
)
from daisyhub.exceptions import (
    ErrorCode,
    PlatformConflictError,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.logs import get_logger
from daisyhub.peers import (
    LotAnswer,
    LotCall,
    PeerNetwork,
    PeerUnreachableError,
)
from daisyhub.platform import LeaseRecord
from daisyhub.problems import problem_body
from daisyhub.rollouts import LotSpec, OpenBody

__all__ = ["LotController"]

_FORWARD_TIMEOUT_S = 65.0
_TAKE_WAIT_S = 2.0
_RETRY_S = 1.0

log = get_logger("lots")


@dataclasses.dataclass(slots=True)
class _Seats:
    """Seats by lot id, and the task group that runs them."""

    by_lot: dict[str, LotSeat] = dataclasses.field(default_factory=dict)


class LotController(Controller):
    """Serves trainers' calls.

    Args:
        tools: What a seat needs.
        network: Reaches the holders of other lots.
    """

    name = "lots"

    def __init__(self, tools: SeatTools, network: PeerNetwork):
        self._tools = tools
        self._network = network
        self._seats = _Seats()
        self._new_seats, self._to_run = anyio.create_memory_object_stream[
            LotSeat
        ](1024)

    def status(self) -> dict[str, object]:
        """Tells the lots held here."""
        return {
            lot_id: seat.status()
            for lot_id, seat in sorted(self._seats.by_lot.items())
        }

    async def run(self) -> None:
        """Runs seats until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for seat in self._to_run:
                tasks.start_soon(self._run_seat, seat)

    async def release(self) -> None:
        """Gives every lot up at shutdown."""
        for seat in list(self._seats.by_lot.values()):
            await seat.release()

    async def serve(self, call: LotCall) -> LotAnswer:
        """Serves a trainer's call here or at the lot's holder.

        Raises:
            Refusal: With the final answer for the trainer.
        """
        try:
            seat = self._seats.by_lot.get(call.lot_id)
            if seat is None:
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

    async def answer_call(self, call: LotCall) -> LotAnswer:
        """Serves a call that a peer passed on; never passes it further."""
        seat = self._seats.by_lot.get(call.lot_id)
        if seat is None:
            return _elsewhere_answer()
        try:
            return await self._serve_here(seat, call)
        except Refusal as exc:
            return LotAnswer(
                status=exc.error.status, body=problem_body(exc, call.lot_id)
            )

    async def _serve_here(self, seat: LotSeat, call: LotCall) -> LotAnswer:
        with anyio.move_on_after(_TAKE_WAIT_S):
            await seat.ready.wait()
        if not seat.is_held:
            raise Refusal(
                ErrorCode.LOT_ELSEWHERE,
                "the lot is being taken over",
                retry_after_s=_RETRY_S,
            )
        return await seat.serve(call)

    async def _ask_holder(self, call: LotCall) -> LotAnswer | None:
        """Returns the holder's answer, or None if no holder answers."""
        found = await self._tools.client.get(f"leases/lots/{call.lot_id}")
        if found is None:
            return None
        holder = msgspec.convert(found.value, LeaseRecord).holder
        daemon_id = holder.partition("/")[0]
        if not daemon_id or daemon_id == self._tools.cfg.daemon_id:
            return None
        with contextlib.suppress(PeerUnreachableError):
            answer = await self._network.call(
                daemon_id, call, _FORWARD_TIMEOUT_S
            )
            if answer.status != ErrorCode.LOT_ELSEWHERE.status:
                return answer
        return None

    async def _take_seat(self, call: LotCall) -> LotSeat:
        spec = await self._find_spec(call)
        if spec.account != call.account:
            raise _unknown_lot()
        seat = self._seats.by_lot.get(call.lot_id)
        if seat is None:
            seat = LotSeat(spec, self._tools)
            self._seats.by_lot[call.lot_id] = seat
            await self._new_seats.send(seat)
        return seat

    async def _find_spec(self, call: LotCall) -> LotSpec:
        key = f"lots/{call.lot_id}/spec"
        found = await self._tools.client.get(key)
        if found is not None:
            return msgspec.convert(found.value, LotSpec)
        if call.verb != "open":
            raise _unknown_lot()
        spec = self._new_spec(call)
        with contextlib.suppress(PlatformConflictError):
            await self._tools.client.put(
                key,
                msgspec.to_builtins(spec),
                expected_version=0,
                write_id=f"{call.lot_id}-spec",
            )
        return spec

    def _new_spec(self, call: LotCall) -> LotSpec:
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
        )

    async def _run_seat(self, seat: LotSeat) -> None:
        try:
            await seat.run()
        finally:
            if self._seats.by_lot.get(seat.spec.lot_id) is seat:
                del self._seats.by_lot[seat.spec.lot_id]


def _unknown_lot() -> Refusal:
    return Refusal(ErrorCode.LOT_UNKNOWN, "there is no such lot")


def _elsewhere_answer() -> LotAnswer:
    return LotAnswer(status=ErrorCode.LOT_ELSEWHERE.status, body=b"")
