"""Generates the load of a soak: look-ups, writes and lots."""

import contextlib
import itertools
import json
import math
import random
import time

import anyio
import msgspec

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.fleet_documents import build_lot
from daisyhub.testing.soak._ledger import Ledger

__all__ = ["LoadGenerator"]

# Seconds after a lot is accepted within which every daemon must know it.
_LOT_PROPAGATION_S = 1.0
# Seconds between requests of a kind: some tens of requests per second in total,
# so that each disturbance affects many, and a few processes can serve them.
_LOOK_UP_INTERVAL_S = 0.08
_WRITE_INTERVAL_S = 0.04
_LOT_INTERVAL_S = 0.6
_READ_INTERVAL_S = 0.05
# Seconds before a lot that wasn't accepted is submitted again: the Retry-After
# of a refused submission.
_RESUBMIT_DELAY_S = 0.3
# Probability that a lot is given up after a few attempts, and seconds from the
# first one to the last.
_GIVE_UP_PROBABILITY = 0.5
_SUBMIT_DEADLINE_S = 6.0
# Minimum and maximum wait for the response to an attempt, in seconds. A store
# call takes 0.7 s before it fails; the maximum is the timeout of other calls.
_SUBMIT_TIMEOUT_S = (1.0, 4.0)
# Probability that an accepted lot is submitted again, and the range of the
# delay in seconds.
_REPEAT_PROBABILITY = 0.3
_REPEAT_DELAY_S = (0.2, 2.5)
# Timeout of a call; twice the deadline that its header sends.
_CALL_TIMEOUT_S = 4.0
_OK = 200
_ACCEPTED = 202
_LOT_UNKNOWN_STATUSES = (404, 410)


class _Problem(msgspec.Struct, frozen=True):
    """Body of a refusal."""

    code: str = ""


class LoadGenerator:
    """Sends requests over pooled connections and records the responses.

    Args:
        seed: Seed of the choice of daemons, invalid keys and read positions.
        fleet: The daemons to call.
        ledger: Records requests and responses.

    Attributes:
        finished: Set when all load has ended and all lots are read.
    """

    def __init__(self, seed: int, fleet: Fleet, ledger: Ledger):
        self._fleet = fleet
        self._ledger = ledger
        self._rng = random.Random(f"{seed} calls")
        self._lot_rng = random.Random(f"{seed} lots")
        self._lot_tasks: anyio.abc.TaskGroup | None = None
        self._http = HttpClient(connect_timeout_s=1.0, idle_s=10.0)
        self._is_running = True
        self._number = 0
        self.finished = anyio.Event()

    def stop(self) -> None:
        """Stops new requests and lots; open lots are still read."""
        self._is_running = False

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    def next_id(self, prefix: str) -> str:
        """Returns a unique request id."""
        self._number += 1
        return f"{prefix}{self._number}"

    def _pick_daemon(self) -> str:
        return self._rng.choice(self._fleet.daemon_names)

    async def run(self) -> None:
        """Generates load until `stop`, then waits until all lots are read."""
        async with anyio.create_task_group() as tasks:
            for generate in (
                self._send_look_ups,
                self._send_writes,
                self._run_lots,
            ):
                tasks.start_soon(generate)
        self.finished.set()

    async def _send_look_ups(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_running:
                request_id = self.next_id("r")
                has_valid_key = self._rng.random() > 0.1
                tasks.start_soon(
                    self._send_request,
                    request_id,
                    "/records/",
                    True,
                    has_valid_key,
                )
                await anyio.sleep(_LOOK_UP_INTERVAL_S)

    async def _send_writes(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_running:
                request_id = self.next_id("w")
                tasks.start_soon(
                    self._send_request, request_id, "/writes/", False, True
                )
                await anyio.sleep(_WRITE_INTERVAL_S)

    async def _send_request(
        self,
        request_id: str,
        prefix: str,
        is_idempotent: bool,
        has_valid_key: bool,
    ) -> None:
        path = f"{prefix}{request_id}"
        self._ledger.record_sent(
            request_id,
            path,
            is_idempotent=is_idempotent,
            has_valid_key=has_valid_key,
        )
        key = KEY if has_valid_key else "key-that-nobody-holds"
        status, body, is_stamped = await self.call(
            self._pick_daemon(), "POST", path, request_id, key
        )
        decoded_body = None
        if status == _OK:
            with contextlib.suppress(msgspec.DecodeError):
                decoded_body = msgspec.json.decode(body)
        self._ledger.record_response(
            request_id, status, decoded_body, is_stamped=is_stamped
        )

    async def call(
        self,
        daemon,
        method,
        target,
        request_id,
        key=KEY,
        body=b"",
        extra_headers=(),
        timeout_s=_CALL_TIMEOUT_S,
    ) -> tuple[int, bytes, bool]:
        """Sends a request to a daemon.

        Returns:
            The status, or 0 if there was no response; the body; and whether
            the response carries the stamp of a server.
        """
        try:
            response = await self._http.request(
                method,
                self._fleet.address(f"{daemon}/front"),
                target,
                headers=(
                    (b"host", b"a.example"),
                    (b"daisyhub-request-id", request_id.encode()),
                    (b"daisyhub-deadline-ms", b"2000"),
                    (b"api-key", key.encode()),
                    *extra_headers,
                ),
                body=body,
                timeout_s=timeout_s,
            )
        except RequestFailedError:
            return 0, b"", False
        is_stamped = any(
            name.lower() == b"daisyhub-server-stamp"
            for name, _ in response.headers
        )
        return response.status, response.body, is_stamped

    async def _run_lots(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._lot_tasks = tasks
            while self._is_running:
                self.start_lots(1)
                await anyio.sleep(_LOT_INTERVAL_S)

    def start_lots(self, count: int) -> None:
        """Starts to submit lots, unless the load has ended."""
        if not self._is_running or self._lot_tasks is None:
            return
        for _ in range(count):
            self._lot_tasks.start_soon(self._run_lot, self.next_id("lot"))

    async def _run_lot(self, lot_id: str) -> None:
        """Submits a lot; if it is accepted, reads all its results."""
        lot = build_lot(lot_id, groups=2)
        body = msgspec.json.encode(lot)
        self._ledger.record_submitted_lot(
            lot_id, [item["id"] for item in lot["items"]]
        )
        if not await self._submit(lot_id, body):
            self._ledger.counts["lots given up"] += 1
            return
        self._ledger.record_accepted_lot(lot_id)
        if self._lot_rng.random() < _REPEAT_PROBABILITY:
            self._lot_tasks.start_soon(self._repeat_submission, lot_id, body)
        await anyio.sleep(_LOT_PROPAGATION_S)
        while self._ledger.result_count(lot_id) < self._ledger.lots[lot_id]:
            await self.read_lot(self._pick_daemon(), lot_id)
            await anyio.sleep(_READ_INTERVAL_S)

    async def _submit(self, lot_id: str, body: bytes) -> bool:
        """Submits a lot to one daemon after the other until one accepts it.

        Returns:
            Whether it was accepted; False if it was given up.
        """
        names = self._fleet.daemon_names
        daemons = itertools.cycle(self._lot_rng.sample(names, len(names)))
        max_attempts, deadline_s = math.inf, math.inf
        if self._lot_rng.random() < _GIVE_UP_PROBABILITY:
            max_attempts = self._lot_rng.randint(2, len(names))
            deadline_s = time.monotonic() + _SUBMIT_DEADLINE_S
        attempts = 0
        while attempts < max_attempts and time.monotonic() < deadline_s:
            status = await self._send_lot(next(daemons), lot_id, body)
            if status == _ACCEPTED:
                return True
            attempts += 1
            await anyio.sleep(_RESUBMIT_DELAY_S)
        return False

    async def _repeat_submission(self, lot_id: str, body: bytes) -> None:
        """Submits an accepted lot again after a while."""
        await anyio.sleep(self._lot_rng.uniform(*_REPEAT_DELAY_S))
        await self._send_lot(
            self._lot_rng.choice(self._fleet.daemon_names), lot_id, body
        )

    async def _send_lot(self, daemon: str, lot_id: str, body: bytes) -> int:
        """Submits a lot to a daemon; returns the status, or 0 for none."""
        attempt = self._ledger.record_attempt(lot_id, daemon)
        status, content, _ = await self.call(
            daemon,
            "POST",
            "/gen/lot",
            lot_id,
            body=body,
            timeout_s=self._lot_rng.uniform(*_SUBMIT_TIMEOUT_S),
        )
        code = ""
        with contextlib.suppress(msgspec.DecodeError):
            code = msgspec.json.decode(content, type=_Problem).code
        self._ledger.record_answer(attempt, status, code)
        return status

    async def read_unaccepted_lots(self) -> None:
        """Asks each daemon for the lots that no attempt is known to store."""
        for lot_id in self._ledger.unaccepted_lots():
            for daemon in self._fleet.daemon_names:
                status, _, _ = await self.call(
                    daemon, "GET", f"/v1/lots/{lot_id}", self.next_id("read")
                )
                if status == _OK:
                    self._ledger.record_readable_lot(lot_id)

    async def read_lot(
        self, daemon: str, lot_id: str, after: int | None = None
    ) -> int:
        """Reads results of a lot from a daemon and records them.

        Args:
            daemon: Name of the daemon.
            lot_id: Id of the lot.
            after: Position to read from; None for the end or the middle of
                the results read so far, at random.

        Returns:
            The position after the last result read; `after` if there was none.
        """
        known_count = self._ledger.result_count(lot_id)
        if after is None:
            after = (
                known_count if self._rng.random() < 0.5 else known_count // 2
            )
        status, body, _ = await self.call(
            daemon,
            "GET",
            f"/v1/lots/{lot_id}?after={after}",
            self.next_id("read"),
            extra_headers=((b"daisyhub-wait-ms", b"200"),),
        )
        if status in _LOT_UNKNOWN_STATUSES:
            self._ledger.record_missing_lot(daemon, lot_id, status)
        if status != _OK:
            return after
        results = json.loads(body)["results"]
        self._ledger.record_results(daemon, lot_id, after, results)
        return after + len(results)
