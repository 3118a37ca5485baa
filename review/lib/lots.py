"""What trainers send and read."""

import asyncio
import base64
import json
import time

from review.lib.case import HOST, Case
from review.lib.server import Server

__all__ = ["TRAINER_DEADLINE_S", "Trainer", "build_lot", "judge_step"]

_READ_INTERVAL_S = 0.5
# Time after the 202 at which a trainer ends a step: the sheet's deadline.
TRAINER_DEADLINE_S = 12.0
# `contact-ms`: time without disturbance after which the state is steady.
_CONTACT_S = 3.0
# Time at no server that breaks LOST.
_AT_NO_SERVER_S = 5.0


def build_lot(lot_id: str, model: str, groups: int, size: int) -> dict:
    """Returns a batch submission of groups of items with reward calls."""
    items = [
        {
            "id": f"{lot_id}{g:02x}{n:02x}",
            "path": f"/gen/{g}/{n}",
            "headers": {
                "Daisyhub-Model": model,
                "Daisyhub-Token-Count": "540,400",
                "Daisyhub-Prompt-Prefix": f"{g:04x}:300,{g:02x}{n:02x}:240",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 940,
            "group": f"{lot_id}g{g}",
            "scorer": {
                "id": f"{lot_id}{g:02x}{n:02x}5c",
                "host": HOST,
                "path": "/score/1",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for g in range(groups)
        for n in range(size)
    ]
    return {
        "step": 0,
        "model": model,
        "min-version": 1,
        "desired-count": groups,
        "items": items,
    }


class Trainer:
    """Submits one batch submission, reads it, and ends it.

    Attributes:
        lot: The batch submission.
        results: The results that were read, by position.
        accepted_s: When the 202 came, on the monotonic clock.
    """

    def __init__(self, case: Case, lot_id: str, lot: dict):
        self._case = case
        self.lot_id = lot_id
        self.lot = lot
        self.results: list[dict] = []
        self.accepted_s = 0.0
        self._calls = 0

    @property
    def item_ids(self) -> list[str]:
        """Ids of all items."""
        return [item["id"] for item in self.lot["items"]]

    def _next_daemon(self) -> str:
        self._calls += 1
        return self._case.daemons[self._calls % len(self._case.daemons)]

    async def submit(self, daemon: str = "", tries: int = 20) -> bool:
        """Submits until a 202 comes; returns whether it came."""
        body = json.dumps(self.lot).encode()
        for _ in range(tries):
            target = daemon or self._next_daemon()
            answer = await self._case.send(
                target, "POST", "/gen/lot", self.lot_id, body
            )
            self._case.note(
                f"lot {self.lot_id} sent to {target}: {answer.status}"
            )
            if answer.status == 202:  # noqa: PLR2004
                self.accepted_s = time.monotonic()
                return True
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.1)))
        return False

    async def read_until(self, until_s: float) -> bool:
        """Reads results twice a second; returns whether all were listed."""
        while time.monotonic() < until_s:
            daemon = self._next_daemon()
            after = len(self.results)
            answer = await self._case.send(
                daemon,
                "GET",
                f"/v1/lots/{self.lot_id}?after={after}",
                "",
                headers={"Daisyhub-Wait-Ms": "1000"},
                timeout_s=2.5,
            )
            if answer.status == 200:  # noqa: PLR2004
                self.results += json.loads(answer.body)["results"]
            self._case.note(
                f"lot {self.lot_id} read at {daemon}: {answer.status}, "
                f"{len(self.results)} of {len(self.item_ids)} listed"
            )
            if len(self.results) == len(self.item_ids):
                return True
            await asyncio.sleep(_READ_INTERVAL_S)
        return False

    async def end(self) -> int:
        """Ends the batch submission; returns the status."""
        daemon = self._next_daemon()
        answer = await self._case.send(
            daemon, "DELETE", f"/v1/lots/{self.lot_id}", ""
        )
        self._case.note(f"lot {self.lot_id} ended at {daemon}: {answer.status}")
        return answer.status


def judge_step(
    case: Case, trainer: Trainer, servers: list[Server], disturbed_s: float
) -> None:
    """Checks LOST for a step that has run out of time.

    It is broken by an item that no server has finished and that was at no
    server for five seconds of steady state, if other items had begun and all
    servers were empty (the rule asks for less than half full).

    Args:
        case: The case.
        trainer: The trainer of the step; its deadline has passed.
        servers: All model servers, also those that have left.
        disturbed_s: When the last disturbance ended, planned work included.
    """
    ids = set(trainer.item_ids)
    ends_s = trainer.accepted_s + TRAINER_DEADLINE_S
    begun = {r["id"] for s in servers for r in s.ran} & ids
    finished = {i for s in servers for i in s.finished}
    listed = {result["id"] for result in trainer.results}
    open_ids = ids - finished - listed
    running = sum(server.running for server in servers)
    at_server_s = max(server.idle_since_s for server in servers)
    steady_s = ends_s - max(at_server_s, disturbed_s + _CONTACT_S)
    for server in servers:
        items = sum(r["id"] in ids for r in server.ran)
        case.note(f"{server.name}: {items} runs of items, {server.running} now")
    case.note(
        f"{len(begun)} of {len(ids)} items began at a server, "
        f"{len(open_ids)} are neither finished nor listed; all servers were "
        f"empty for the last {steady_s:.1f} s of steady state"
    )
    if open_ids and begun and not running and steady_s >= _AT_NO_SERVER_S:
        case.break_rule(
            f"LOST: the step ran out of time with {len(open_ids)} items that "
            f"were at no server for {steady_s:.1f} s of steady state"
        )
