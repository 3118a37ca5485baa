"""Model of daemons that accept lots, for the state machine.

The daemons' own code runs on an event loop that the machine steps. Each call of
the store and each relayed message waits until the machine gives its outcome, so
a daemon can be frozen between any two calls.
"""

import asyncio
import contextlib
import contextvars
import time
import types
from unittest import mock

import msgspec

from daisyhub.catalog import RouteKind
from daisyhub.cluster import StoreRequest, StoreRequestHandler
from daisyhub.cluster._store_calls import _PeerStore
from daisyhub.exceptions import Refusal
from daisyhub.logs import DecisionLog
from daisyhub.lots import (
    ItemSpec,
    LotHead,
    LotSpec,
    LotStore,
    SubmittedLotsFilter,
)
from daisyhub.lots._lot_store import LOTS_KIND
from daisyhub.lots.tests.acceptance_calls import (
    Attempt,
    DirectStore,
    Network,
    ObservedStore,
    Outcome,
    PendingCall,
    Submission,
    current_attempt,
)
from daisyhub.messages import Request
from daisyhub.objects import ObjectConflictError, RelayedStore, RelayProvider
from daisyhub.testing.object_store import MemoryStore
from daisyhub.testing.virtual_time import VirtualTimeLoop

_RELAY_TIMEOUT_S = 0.5
# Number of turns of the event loop after which a resumed daemon certainly waits
# for its next call.
_TURNS = 12


class _Relays(RelayProvider):
    def __init__(self, network: Network, peer_ids: list[str]):
        self._network = network
        self._peer_ids = peer_ids

    def stores(self):
        return [
            _PeerStore(self._network, peer_id, _RELAY_TIMEOUT_S)
            for peer_id in self._peer_ids
        ]


class Daemon:
    """One daemon's code for submissions, over its own ways to the store."""

    def __init__(self, world, number, relay_ids, lot_store_class):
        direct = DirectStore(world, number)
        log = DecisionLog(str(number), write=lambda _: True)
        store = direct
        if relay_ids is not None:
            relays = _Relays(Network(world, number), relay_ids)
            store = RelayedStore(direct, relays, log)
        store = ObservedStore(world, store)
        self.handler = StoreRequestHandler(direct, direct)
        self.filter = SubmittedLotsFilter(
            lot_store_class(store),
            types.SimpleNamespace(record_accepted=lambda head, is_ended: None),
            types.SimpleNamespace(read_lot=_read_lot),
            types.SimpleNamespace(now_s=time.monotonic),
            log,
        )


def _read_lot(req, accepted_s):
    head = msgspec.structs.replace(req.body.head, accepted_s=accepted_s)
    return LotSpec(head=head, items=req.body.items)


class World:
    """All daemons, their store, and the calls under way.

    Args:
        relay_count: Number of peers that each daemon may use as relays; None
            for daemons without a `RelayedStore`.
        conflicts_return_object: Whether a conflict contains the object.
        lot_store_class: The class under test.
        daemon_count: Number of daemons.

    Attributes:
        store: The store; its calls never fail.
        pending: Calls that wait for their outcome, in order.
        delayed: Writes to be executed later.
        creators: The attempt that created each head, by name.
        open_attempts: Attempts that their daemons still work on.
        read_revisions: The store's revision at the last read, and its time, by
            task.
    """

    def __init__(
        self,
        relay_count,
        conflicts_return_object,
        lot_store_class=LotStore,
        daemon_count=3,
    ):
        self.loop = VirtualTimeLoop()
        self.store = MemoryStore()
        self.conflicts_return_object = conflicts_return_object
        self.pending = []
        self.delayed = []
        self.creators = {}
        self.open_attempts = []
        self.read_revisions = {}
        self._relayed = {}
        self._relay_count = relay_count
        self._lot_store_class = lot_store_class
        self._daemon_count = daemon_count
        self.daemons = [self._make_daemon(n) for n in range(daemon_count)]

    def _make_daemon(self, number) -> Daemon:
        peers = None
        if self._relay_count is not None:
            peers = [
                str((number + 1 + n) % self._daemon_count)
                for n in range(self._relay_count)
            ]
        return Daemon(self, number, peers, self._lot_store_class)

    def close(self):
        """Cancels everything and closes the event loop."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run()
        self.loop.close()

    def run(self, awaitable=None):
        """Runs until `awaitable` is done, or until all daemons wait."""
        with mock.patch.object(time, "monotonic", self.loop.time):
            return self.loop.run_until_complete(awaitable or _take_turns())

    async def next_outcome(self, daemon, verb, kind, write=None):
        """Waits for the outcome of a call; returns the call and the outcome."""
        outcome = self.loop.create_future()
        call = PendingCall(
            daemon=daemon,
            attempt=current_attempt.get(),
            verb=verb,
            kind=kind,
            write=write,
            outcome=outcome,
            task=asyncio.current_task(),
        )
        self.pending.append(call)
        try:
            return call, await outcome
        finally:
            self.pending.remove(call)

    def resume(self, call: PendingCall, outcome: Outcome) -> None:
        """Gives a call its outcome and runs its daemon to its next call."""
        call.outcome.set_result(outcome)
        self.run()

    def submit(self, submission: Submission, daemon: int) -> Attempt:
        """Starts an attempt, up to its first call."""
        attempt = Attempt(submission, daemon, self.loop.time())
        submission.attempts.append(attempt)
        context = contextvars.copy_context()
        context.run(current_attempt.set, attempt)
        attempt.task = self.loop.create_task(
            self._serve(attempt), context=context
        )
        self.open_attempts.append(attempt)
        self.run()
        return attempt

    async def _serve(self, attempt: Attempt) -> None:
        spec = attempt.submission.spec
        req = Request(
            request_id=spec.head.lot_id,
            method="POST",
            path=spec.head.path,
            query="",
            host=spec.head.host,
            headers=(),
            read_body=None,
            started_s=attempt.started_s,
            deadline_s=0.0,
            account=spec.head.account,
            route=types.SimpleNamespace(kind=RouteKind.ROLLOUT),
            body=spec,
        )
        try:
            resp = await self.daemons[attempt.daemon].filter.handle(req, None)
            attempt.status = resp.status
        except Refusal as exc:
            attempt.refusal = exc
            attempt.status = exc.error.status

    def start_relayed_call(self, peer: int, request: bytes) -> asyncio.Task:
        """Starts a peer's call of the store for another daemon."""
        handler = self.daemons[peer].handler

        async def execute():
            decoded = msgspec.json.decode(request, type=StoreRequest)
            return msgspec.json.encode(await handler.handle(decoded))

        task = self.loop.create_task(execute())
        self._relayed[task] = peer
        task.add_done_callback(self._relayed.pop)
        return task

    def cancel(self, tasks: list[asyncio.Task], outcome: Outcome) -> None:
        """Cancels tasks; their writes under way get an outcome at the store."""
        writes = [c for c in self.pending if c.write and c.task in tasks]
        for call in writes:
            if outcome is Outcome.DELAYED:
                self.delayed.append(call)
            elif outcome is not Outcome.LOST:
                self.apply(call)
        for task in tasks:
            task.cancel()
        self.run()

    def kill(self, daemon: int, outcome: Outcome) -> None:
        """Restarts a daemon, whose work is lost."""
        tasks = [a.task for a in self.open_attempts if a.daemon == daemon]
        tasks += [t for t, peer in self._relayed.items() if peer == daemon]
        self.cancel(tasks, outcome)
        self.daemons[daemon] = self._make_daemon(daemon)

    def apply(self, call: PendingCall) -> None:
        """Executes a write, if its condition holds."""
        with contextlib.suppress(ObjectConflictError):
            self.run(call.write())

    def stored_head(self, lot_id: str) -> tuple[LotHead, int] | None:
        """Returns the stored head of a lot and its revision."""
        found = self.store.objects.get((LOTS_KIND, lot_id))
        if found is None:
            return None
        return msgspec.json.decode(found.spec, type=LotHead), found.revision

    def stored_spec(self, head: LotHead) -> LotSpec:
        """Returns a stored lot as a holder reads it."""
        return self.run(LotStore(self.store).spec(head))


async def _take_turns() -> None:
    for _ in range(_TURNS):
        await asyncio.sleep(0)


def make_spec(lot_id: str, account: str, parts: int) -> LotSpec:
    """Returns a lot with one item for each part."""
    items = tuple(
        ItemSpec(
            item_id=f"{lot_id}{number}",
            path="/p",
            headers={},
            body=f"{account}{number}".encode(),
            group="g",
        )
        for number in range(parts)
    )
    head = LotHead(
        lot_id=lot_id,
        account=account,
        host="h",
        path="/p",
        step=1,
        model="m",
        oldest_version=1,
        wanted_groups=1,
        total=parts,
    )
    return LotSpec(head=head, items=items)
