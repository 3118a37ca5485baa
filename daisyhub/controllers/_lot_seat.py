"""One lot at its holder: the lease, the core, generation and commits."""

import dataclasses
import time

import anyio
import msgspec

from daisyhub.accounting import UsageCounters
from daisyhub.balancing import EndpointTable
from daisyhub.base import Balancer
from daisyhub.clocks import wall_time_s
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.controllers._config import ConfigController
from daisyhub.exceptions import (
    ErrorCode,
    PlatformConflictError,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.filters._forward import news_from_headers
from daisyhub.logs import get_logger
from daisyhub.metrics import Metrics
from daisyhub.peers import LotAnswer, LotCall
from daisyhub.platform import LeaseKeeper, PlatformClient
from daisyhub.rollouts import (
    AckBody,
    CommitDone,
    CommitPull,
    EngineAnswer,
    Generate,
    HandOver,
    LotCore,
    LotSpec,
    LotState,
    LotTick,
    PullAcked,
    PullAnswer,
    PullAsked,
    PullBody,
    Sample,
    SampleFailed,
    SampleReady,
    check_spans,
)
from daisyhub.settings import DaemonSettings

__all__ = ["LotSeat", "SeatTools", "decode_body"]

_GENERATE_TIMEOUT_S = 300.0
_RETRY_S = 1.0
_IDLE_STEP_S = 1.0
_COMMIT_RETRY_S = 0.2
_OK = 200

log = get_logger("lots")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SeatTools:
    """What a seat needs of its daemon."""

    cfg: DaemonSettings
    client: PlatformClient
    keeper: LeaseKeeper
    http: HttpClient
    table: EndpointTable
    balancer: Balancer
    config: ConfigController
    counters: UsageCounters
    metrics: Metrics


class LotSeat:
    """Tries to hold one lot and serves it while it does.

    Attributes:
        ready: Set once the seat is held and its state is read, or is over.
    """

    def __init__(self, spec: LotSpec, tools: SeatTools):
        self.spec = spec
        self.ready = anyio.Event()
        self._tools = tools
        self._lease = tools.keeper.new_lease(f"lots/{spec.lot_id}")
        self._core: LotCore | None = None
        self._state_version = 0
        self._answers: dict[str, HandOver] = {}
        self._waiters: dict[str, anyio.Event] = {}
        self._wakeup = anyio.Event()
        self._tasks = None
        self._is_over = False

    @property
    def is_held(self) -> bool:
        """Whether this daemon is surely in charge of the lot."""
        return bool(
            self._core is not None and self._lease.fencing and not self._is_over
        )

    def status(self) -> dict[str, object]:
        """Tells the lot's progress."""
        return {
            "held": self.is_held,
            "remaining": self._core.remaining if self._core else None,
            "fencing": self._lease.fencing,
        }

    async def run(self) -> None:
        """Acquires the lease, then serves the lot until it is closed."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._lease.run)
                await self._wait_for_lease()
                await self._load()
                self.ready.set()
                await self._drive()
                tasks.cancel_scope.cancel()
        except (PlatformUnavailableError, PlatformConflictError) as exc:
            log.warning("lot {} is given up: {}", self.spec.lot_id, exc)
        except BaseExceptionGroup as group:
            known = (PlatformUnavailableError, PlatformConflictError)
            _, rest = group.split(known)
            if rest is not None:
                raise rest from group
            log.warning("lot {} is given up: {}", self.spec.lot_id, group)
        finally:
            self._is_over = True
            self.ready.set()
            for waiter in self._waiters.values():
                waiter.set()

    async def release(self) -> None:
        """Stops serving and gives the lease up."""
        self._is_over = True
        self._wakeup.set()
        await self._lease.release()

    async def serve(self, call: LotCall) -> LotAnswer:
        """Serves one trainer's call.

        Raises:
            Refusal: With the final answer for the trainer.
        """
        if call.account != self.spec.account:
            raise Refusal(ErrorCode.LOT_UNKNOWN, "there is no such lot")
        match call.verb:
            case "open":
                return _json_answer({"remaining": self._core.remaining})
            case "pull":
                return await self._pull(decode_body(call.body, PullBody))
            case "ack":
                return await self._ack(decode_body(call.body, AckBody))
            case "close":
                return await self._close()
        raise Refusal(ErrorCode.ROUTE_UNKNOWN, f"no verb {call.verb!r}")

    async def _wait_for_lease(self) -> None:
        while not self._lease.fencing:
            await anyio.sleep(0.01)

    async def _load(self) -> None:
        """Reads the state and marks it with this holder's fencing number."""
        found = await self._tools.client.get(self._state_key)
        state = LotState(fencing=0)
        if found is not None:
            state = msgspec.convert(found.value, LotState)
        self._state_version = found.version if found else 0
        self._core = LotCore(self.spec, state)
        await self._write_state(is_closed=state.is_closed)

    @property
    def _state_key(self) -> str:
        return f"lots/{self.spec.lot_id}/state"

    async def _write_state(self, *, is_closed: bool = False) -> None:
        """Writes the pulls, again until the effect is known.

        Raises:
            PlatformConflictError: Another holder wrote; this one is deposed.
        """
        fencing = self._lease.fencing
        state = LotState(
            fencing=fencing, pulls=self._core.pulls, is_closed=is_closed
        )
        while True:
            if not self._lease.fencing:
                raise PlatformConflictError(self._state_key, 0)
            try:
                self._state_version = await self._tools.client.put(
                    self._state_key,
                    msgspec.to_builtins(state),
                    expected_version=self._state_version,
                    write_id=f"{fencing}.{time.monotonic_ns()}",
                )
            except PlatformUnavailableError:
                await anyio.sleep(_COMMIT_RETRY_S)
                continue
            return

    async def _drive(self) -> None:
        """Ticks the core at its wake-up times until the seat is over."""
        while self._lease.fencing and not self._is_over:
            self._feed(LotTick())
            wakeup_s = self._core.next_wakeup_s
            wait_s = _IDLE_STEP_S
            if wakeup_s is not None:
                wait_s = min(wait_s, max(0.005, wakeup_s - time.monotonic()))
            with anyio.move_on_after(wait_s):
                await self._wakeup.wait()
            self._wakeup = anyio.Event()

    def _feed(self, event: object) -> None:
        for action in self._core.handle(event, time.monotonic()):
            match action:
                case Generate():
                    self._tasks.start_soon(self._generate, action)
                case CommitPull():
                    self._tasks.start_soon(self._commit, action)
                case HandOver():
                    self._hand_over(action)

    async def _commit(self, action: CommitPull) -> None:
        await self._write_state()
        self._count(action)
        self._feed(CommitDone(action.pull_id))

    def _hand_over(self, action: HandOver) -> None:
        waiter = self._waiters.get(action.pull_id)
        if waiter is None:
            return
        self._answers[action.pull_id] = action
        waiter.set()

    async def _pull(self, body: PullBody) -> LotAnswer:
        waiter = anyio.Event()
        self._waiters[body.pull_id] = waiter
        event = PullAsked(
            pull_id=body.pull_id,
            version=body.version,
            max_groups=body.max_groups,
            until_s=time.monotonic() + body.wait_s,
        )
        self._feed(event)
        self._wakeup.set()
        with anyio.move_on_after(body.wait_s + _RETRY_S):
            await waiter.wait()
        if self._waiters.get(body.pull_id) is waiter:
            del self._waiters[body.pull_id]
        answer = self._answers.pop(body.pull_id, None)
        if answer is None:
            raise Refusal(
                ErrorCode.LOT_ELSEWHERE,
                "the pull could not be committed",
                retry_after_s=_RETRY_S,
            )
        return _json_answer(
            PullAnswer(
                pull_id=body.pull_id,
                groups=answer.groups,
                remaining=answer.remaining,
            )
        )

    def _count(self, action: CommitPull) -> None:
        """Counts the tokens of a committed pull; a repeat counts no more."""
        for group in action.groups:
            for sample in group.samples:
                self._tools.counters.add(
                    self.spec.account, len(sample.tokens), wall_time_s()
                )

    async def _ack(self, body: AckBody) -> LotAnswer:
        self._feed(PullAcked(body.pull_id))
        return _json_answer({"remaining": self._core.remaining})

    async def _close(self) -> LotAnswer:
        try:
            await self._write_state(is_closed=True)
        except PlatformConflictError as exc:
            raise Refusal(
                ErrorCode.LOT_ELSEWHERE,
                "the lot moved to another daemon",
                retry_after_s=_RETRY_S,
            ) from exc
        await self.release()
        return _json_answer({"closed": True})

    async def _generate(self, action: Generate) -> None:
        answer = await self._ask_engine(action)
        event = SampleFailed(action.attempt)
        if answer is not None and check_spans(answer):
            sample = Sample(
                index=action.index, tokens=answer.tokens, spans=answer.spans
            )
            event = SampleReady(action.attempt, sample)
        elif answer is not None:
            self._tools.metrics.count("samples_dropped", reason="spans")
        self._feed(event)
        self._wakeup.set()

    async def _ask_engine(self, action: Generate) -> EngineAnswer | None:
        table = self._tools.table
        now_s = time.monotonic()
        endpoint_id = self._tools.balancer.choose(
            table.candidates(self.spec.pool, now_s)
        )
        if endpoint_id is None:
            return None
        state = table.get(endpoint_id)
        body = {
            "prompt": self.spec.prompts[action.group],
            "max_tokens": self.spec.max_tokens,
            "sample": action.index,
        }
        table.note_sent(endpoint_id)
        failed = True
        try:
            answer = await self._tools.http.request(
                "POST",
                state.address,
                "/generate",
                headers=((b"content-type", b"application/json"),),
                body=msgspec.json.encode(body),
                timeout_s=_GENERATE_TIMEOUT_S,
            )
            failed = answer.status != _OK
        except RequestFailedError as exc:
            log.debug("generation failed: {}", exc)
            self._tools.http.forget(state.address)
            return None
        finally:
            table.note_done(endpoint_id, failed=failed, now_s=time.monotonic())
        table.adopt_news(news_from_headers(state, answer.headers))
        if failed:
            return None
        try:
            return msgspec.json.decode(answer.body, type=EngineAnswer)
        except msgspec.DecodeError:
            return None


def decode_body(body: bytes, kind: type):
    """Reads a trainer's JSON body into `kind`.

    Raises:
        Refusal: It isn't a `kind`.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise Refusal(ErrorCode.BODY_INVALID, str(exc)) from exc


def _json_answer(value: object) -> LotAnswer:
    return LotAnswer(status=_OK, body=msgspec.json.encode(value))
