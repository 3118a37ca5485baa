"""What the callers of a soak do: look-ups, writes and trainers' lots."""

import contextlib
import json
import random

import anyio
import msgspec

from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.testing.fleet import KEY, Fleet
from daisyhub.testing.soak._ledger import Ledger

__all__ = ["Callers"]

# Seconds from an acceptance from which every daemon must know a lot.
_SETTLE_S = 1.0
# Seconds between requests of a kind: some tens a second in all, so that each
# disturbance meets many, and a few processes keep up.
_LOOK_UP_PAUSE_S = 0.08
_WRITE_PAUSE_S = 0.04
_LOT_PAUSE_S = 0.6
_READ_PAUSE_S = 0.05
# Seconds before a lot that wasn't accepted is handed in again.
_AGAIN_S = 0.3
# Seconds that a caller waits; twice the deadline that it tells.
_CALL_S = 4.0
_OK = 200
_ACCEPTED = 202
_GONE = (404, 410)


class Callers:
    """Calls daemons over kept connections, and notes what they answer.

    Args:
        seed: Decides which daemon is called.
        fleet: The daemons.
        ledger: Takes what was sent and answered.
    """

    def __init__(self, seed: int, fleet: Fleet, ledger: Ledger):
        self._fleet = fleet
        self._ledger = ledger
        self._rng = random.Random(f"{seed} calls")
        self._http = HttpClient(connect_timeout_s=1.0, idle_s=10.0)
        self._is_calling = True
        self._number = 0
        self.ended = anyio.Event()

    def stop(self) -> None:
        """Starts no further request; lots that are open are read on."""
        self._is_calling = False

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    def next_id(self, prefix: str) -> str:
        """Returns an id that no other request has."""
        self._number += 1
        return f"{prefix}{self._number}"

    def _daemon(self) -> str:
        return self._rng.choice(self._fleet.daemon_names)

    async def run(self) -> None:
        """Calls until told to stop, and until all lots are read."""
        async with anyio.create_task_group() as tasks:
            for caller in (self._look_up, self._write, self._train):
                tasks.start_soon(caller)
        self.ended.set()

    async def _look_up(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_calling:
                request_id = self.next_id("r")
                has_key = self._rng.random() > 0.1
                tasks.start_soon(
                    self._ask, request_id, "/records/", True, has_key
                )
                await anyio.sleep(_LOOK_UP_PAUSE_S)

    async def _write(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_calling:
                request_id = self.next_id("w")
                tasks.start_soon(self._ask, request_id, "/writes/", False, True)
                await anyio.sleep(_WRITE_PAUSE_S)

    async def _ask(
        self, request_id: str, prefix: str, is_safe: bool, has_key: bool
    ) -> None:
        path = f"{prefix}{request_id}"
        self._ledger.record_sent(
            request_id, path, is_repeatable=is_safe, has_key=has_key
        )
        key = KEY if has_key else "key-that-nobody-holds"
        status, body, stamped = await self.call(
            self._daemon(), "POST", path, request_id, key
        )
        told = None
        if status == _OK:
            with contextlib.suppress(msgspec.DecodeError):
                told = msgspec.json.decode(body)
        self._ledger.note_answer(request_id, status, told, is_stamped=stamped)

    async def call(
        self, daemon, method, target, request_id, key=KEY, body=b"", extra=()
    ) -> tuple[int, bytes, bool]:
        """Calls a daemon over a kept connection; status 0 is no answer."""
        try:
            answer = await self._http.request(
                method,
                self._fleet.address(f"{daemon}/front"),
                target,
                headers=(
                    (b"host", b"a.example"),
                    (b"daisyhub-request-id", request_id.encode()),
                    (b"daisyhub-deadline-ms", b"2000"),
                    (b"api-key", key.encode()),
                    *extra,
                ),
                body=body,
                timeout_s=_CALL_S,
            )
        except RequestFailedError:
            return 0, b"", False
        is_stamped = any(
            name.lower() == b"daisyhub-server-stamp"
            for name, _ in answer.headers
        )
        return answer.status, answer.body, is_stamped

    async def _train(self) -> None:
        async with anyio.create_task_group() as tasks:
            while self._is_calling:
                tasks.start_soon(self._one_lot, self.next_id("lot"))
                await anyio.sleep(_LOT_PAUSE_S)

    async def _one_lot(self, lot_id: str) -> None:
        """Hands a lot in until it is accepted, then reads it whole."""
        lot = self._fleet.build_lot(lot_id, groups=2)
        body = msgspec.json.encode(lot)
        self._ledger.note_lot(lot_id, [item["id"] for item in lot["items"]])
        status = 0
        while status != _ACCEPTED:
            status, _, _ = await self.call(
                self._daemon(), "POST", "/gen/lot", lot_id, body=body
            )
            if status != _ACCEPTED:
                await anyio.sleep(_AGAIN_S)
        self._ledger.note_accepted(lot_id)
        await anyio.sleep(_SETTLE_S)
        while self._ledger.listed(lot_id) < self._ledger.lots[lot_id]:
            await self.read(self._daemon(), lot_id)
            await anyio.sleep(_READ_PAUSE_S)

    async def read(
        self, daemon: str, lot_id: str, after: int | None = None
    ) -> bool:
        """Reads a lot at a daemon; returns whether it told the last result.

        Without `after` the read starts at the end of what is known, or at
        its middle.
        """
        known = self._ledger.listed(lot_id)
        if after is None:
            after = known if self._rng.random() < 0.5 else known // 2
        status, body, _ = await self.call(
            daemon,
            "GET",
            f"/v1/lots/{lot_id}?after={after}",
            self.next_id("read"),
            extra=((b"daisyhub-wait-ms", b"200"),),
        )
        if status in _GONE:
            self._ledger.note_missing(daemon, lot_id, status)
        if status != _OK:
            return False
        told = json.loads(body)
        self._ledger.note_results(daemon, lot_id, after, told["results"])
        return after + len(told["results"]) >= told["total"]
