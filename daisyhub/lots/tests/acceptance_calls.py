"""Calls of daemons that accept lots, each with an outcome of the machine."""

import asyncio
import contextlib
import contextvars
import dataclasses
import enum
import typing
from collections.abc import Awaitable, Callable

import msgspec

from daisyhub.cluster import StoreResponse
from daisyhub.exceptions import Refusal
from daisyhub.lots import LotHead, LotSpec
from daisyhub.lots._lot_store import LOTS_KIND
from daisyhub.objects import (
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
)
from daisyhub.peers import PeerUnreachableError

if typing.TYPE_CHECKING:
    from daisyhub.lots.tests.acceptance_model import World

# Statuses that promise that no part of a submission runs.
PROMISING_STATUSES = (408, 421, 429, 503)

current_attempt = contextvars.ContextVar("attempt", default=None)


class Outcome(enum.Enum):
    """Outcome of one call.

    Attributes:
        DONE: It is executed and answered.
        REFUSED: It fails and is known not to be executed.
        RESPONSE_LOST: It is executed; its caller sees a failure.
        LOST: It is never executed; its caller doesn't know.
        DELAYED: It is executed later; its caller sees a failure now.
        STALE: A read that can be stale finds nothing; others are answered.
    """

    DONE = "done"
    REFUSED = "refused"
    RESPONSE_LOST = "response lost"
    LOST = "lost"
    DELAYED = "delayed"
    STALE = "stale"


@dataclasses.dataclass(eq=False)
class Submission:
    """A lot that one caller submits, and the caller's attempts."""

    spec: LotSpec
    attempts: list["Attempt"] = dataclasses.field(default_factory=list)

    @property
    def lot_id(self) -> str:
        return self.spec.head.lot_id

    @property
    def account(self) -> str:
        return self.spec.head.account

    def is_stored_as(self, head: LotHead) -> bool:
        """Whether a head is this lot's; lots of a test differ in their size."""
        return (head.account, head.total) == (
            self.account,
            self.spec.head.total,
        )

    def is_promised_not_to_run(self) -> bool:
        """Whether the caller got a promise at every attempt."""
        return bool(self.attempts) and all(
            attempt.has_caller and attempt.is_promise
            for attempt in self.attempts
        )


@dataclasses.dataclass(eq=False)
class Attempt:
    """One attempt of a caller at one daemon.

    Attributes:
        submission: The submission.
        daemon: Number of the daemon.
        has_caller: Whether the caller waits for the answer or got it.
        status: HTTP status of the answer; 0 without one.
        refusal: The refusal, if it was refused.
        failures: Texts of the failed calls that the daemon saw.
        started_s: When the daemon read it.
        absent_at: The store's revision at the last current read that showed
            the daemon that there is no head or no part, since its last create
            of the head; None without such a read.
        absent_s: When the store executed that read.
        task: The daemon's task.
    """

    submission: Submission
    daemon: int
    started_s: float
    has_caller: bool = True
    status: int = 0
    refusal: Refusal | None = None
    failures: list[str] = dataclasses.field(default_factory=list)
    absent_at: int | None = None
    absent_s: float = 0.0
    task: asyncio.Task | None = None

    @property
    def is_promise(self) -> bool:
        """Whether the answer promises that nothing runs."""
        return self.status in PROMISING_STATUSES


@dataclasses.dataclass(eq=False)
class PendingCall:
    """A call that waits for its outcome.

    Attributes:
        daemon: Number of the daemon whose call it is.
        attempt: The attempt that it serves.
        verb: The store's method; after `relay` or `answer`, a request to a
            peer or its response.
        kind: Kind of the object.
        write: Executes a write; None for other calls.
        outcome: Receives the outcome.
        task: The task that waits.
    """

    daemon: int
    attempt: Attempt
    verb: str
    kind: str
    write: Callable[[], Awaitable] | None
    outcome: asyncio.Future
    task: asyncio.Task

    def __str__(self) -> str:
        return f"{self.verb} {self.kind} at daemon {self.daemon}"


class _AcceptanceStore(ObjectStore):
    """A store with only the calls that accepting a lot needs."""

    async def replace(self, kind, name, spec, *, revision):
        raise NotImplementedError

    async def set_status(self, kind, name, status):
        raise NotImplementedError

    async def delete(self, kind, name):
        raise NotImplementedError

    async def list_all(self, kind):
        raise NotImplementedError

    async def watch(self, kind, *, after_revision, wait_s, can_be_stale=False):
        raise NotImplementedError


class DirectStore(_AcceptanceStore):
    """A daemon's direct calls to the store that all daemons share."""

    def __init__(self, world: "World", daemon: int):
        self._world = world
        self._daemon = daemon

    async def read(self, kind, name, *, can_be_stale=False):
        _, outcome = await self._world.next_outcome(self._daemon, "read", kind)
        if outcome is Outcome.STALE:
            if can_be_stale:
                return None
        elif outcome is not Outcome.DONE:
            raise self._failure("read", kind, outcome, may_be_done=False)
        revisions = self._world.read_revisions
        revisions[asyncio.current_task()] = (
            self._world.store.revision,
            self._world.loop.time(),
        )
        return await self._world.store.read(kind, name)

    async def create(self, kind, name, spec):
        world, attempt = self._world, current_attempt.get()

        async def write():
            try:
                found = await world.store.create(kind, name, spec)
            except ObjectConflictError as exc:
                if not world.conflicts_return_object:
                    exc.found = None
                raise
            if kind == LOTS_KIND:
                world.creators[name] = attempt
            return found

        call, outcome = await world.next_outcome(
            self._daemon, "create", kind, write
        )
        if outcome in (Outcome.DONE, Outcome.STALE):
            return await write()
        if outcome is Outcome.RESPONSE_LOST:
            with contextlib.suppress(ObjectConflictError):
                await write()
        if outcome is Outcome.DELAYED:
            world.delayed.append(call)
        may_be_done = outcome is not Outcome.REFUSED
        raise self._failure("create", kind, outcome, may_be_done=may_be_done)

    def _failure(self, verb, kind, outcome, *, may_be_done):
        text = f"{verb} {kind} at daemon {self._daemon}: {outcome.value}"
        return ObjectStoreError(text, may_be_done=may_be_done)


class ObservedStore(_AcceptanceStore):
    """Notes what the calls of an attempt showed to its daemon."""

    def __init__(self, world: "World", store: ObjectStore):
        self._world = world
        self._store = store

    async def read(self, kind, name, *, can_be_stale=False):
        with _note_failures():
            found = await self._store.read(
                kind, name, can_be_stale=can_be_stale
            )
        if found is None and not can_be_stale:
            attempt = current_attempt.get()
            attempt.absent_at, attempt.absent_s = self._world.read_revisions[
                asyncio.current_task()
            ]
        return found

    async def create(self, kind, name, spec):
        if kind == LOTS_KIND:
            current_attempt.get().absent_at = None
        with _note_failures():
            return await self._store.create(kind, name, spec)


@contextlib.contextmanager
def _note_failures():
    try:
        yield
    except ObjectStoreError as exc:
        current_attempt.get().failures.append(str(exc))
        raise


class Network:
    """Carries a daemon's store requests to its peers, encoded as on the wire.

    A peer executes a request in a task of its own, also after its sender has
    given up.
    """

    def __init__(self, world: "World", daemon: int):
        self._world = world
        self._daemon = daemon

    async def call(self, peer_id, content, timeout_s):
        world, verb, kind = self._world, content.verb, content.kind
        _, outcome = await world.next_outcome(
            self._daemon, f"relay {verb}", kind
        )
        if outcome in (Outcome.REFUSED, Outcome.LOST):
            raise PeerUnreachableError(f"{peer_id}: the request is lost")
        task = world.start_relayed_call(
            int(peer_id), msgspec.json.encode(content)
        )
        if outcome is Outcome.DELAYED:
            raise PeerUnreachableError(f"no response from {peer_id}")
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done or task.cancelled():
            raise PeerUnreachableError(f"no response from {peer_id} in time")
        if outcome is not Outcome.RESPONSE_LOST:
            _, outcome = await world.next_outcome(
                self._daemon, f"answer {verb}", kind
            )
        if outcome not in (Outcome.DONE, Outcome.STALE):
            raise PeerUnreachableError(f"the response of {peer_id} is lost")
        world.read_revisions[asyncio.current_task()] = world.read_revisions.get(
            task
        )
        return msgspec.json.decode(task.result(), type=StoreResponse)
