"""A small caller for tests and the demo, over `HttpClient`."""

import contextlib
import dataclasses

import anyio
import msgspec

from daisyhub.connections import HttpClient, HttpResponse, RequestFailedError
from daisyhub.settings import Address

__all__ = ["Caller", "TrainerResult", "run_trainer"]

_TIMEOUT_S = 30.0
_PULL_WAIT_S = 2.0
_OK = 200


class Caller:
    """Calls one daemon or fake.

    Args:
        address: Where to send requests.
        key: The client key, or empty.
    """

    def __init__(self, address: Address, key: str = ""):
        self.address = address
        self.key = key
        self.http = HttpClient(connect_timeout_s=2.0, idle_s=30.0)

    async def send(
        self,
        method: str,
        target: str,
        value: object = None,
        *,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_s: float = _TIMEOUT_S,
        fresh: bool = False,
    ) -> HttpResponse:
        """Sends one request with `value` as JSON."""
        own = []
        if self.key:
            own.append((b"authorization", f"Bearer {self.key}".encode()))
        body = b"" if value is None else msgspec.json.encode(value)
        return await self.http.request(
            method,
            self.address,
            target,
            headers=(*own, *headers),
            body=body,
            timeout_s=timeout_s,
            fresh=fresh,
        )

    async def json(self, method: str, target: str, value: object = None):
        """Sends one request and returns the answer's JSON value."""
        answer = await self.send(method, target, value)
        return msgspec.json.decode(answer.body)

    async def aclose(self) -> None:
        """Closes idle connections."""
        await self.http.aclose()


@dataclasses.dataclass(slots=True)
class TrainerResult:
    """What a fake trainer got.

    Attributes:
        groups: Group number to its samples, as JSON values.
        doubled: Groups that came more than once.
        stale: Samples older than the bound.
        mixed: Samples with more than one weight version.
        idle_s: Time spent waiting for pulls.
        repeats: Calls that had to be repeated.
    """

    groups: dict[int, list] = dataclasses.field(default_factory=dict)
    duplicate_groups: int = 0
    stale_samples: int = 0
    mixed_version_samples: int = 0
    idle_s: float = 0.0
    retries: int = 0

    def take(self, groups: list, version: int, max_staleness: int) -> None:
        """Takes the groups of one pull."""
        for group in groups:
            if group["group"] in self.groups:
                self.duplicate_groups += 1
            self.groups[group["group"]] = group["samples"]
            for sample in group["samples"]:
                versions = {span["version"] for span in sample["spans"]}
                self.stale_samples += min(versions) < version - max_staleness
                self.mixed_version_samples += len(versions) > 1


async def run_trainer(
    callers: list[Caller],
    lot_id: str,
    lot_class: str,
    prompts: list[str],
    get_version,
    *,
    max_staleness: int,
    deadline_s: float = 60.0,
    call_timeout_s: float = _TIMEOUT_S,
    max_groups: int = 16,
) -> TrainerResult:
    """Opens a lot, pulls until every group came, acknowledges, and closes.

    A call that fails is repeated, at the next daemon. A pull keeps its id
    until it brings groups; a repeat tells the version of that moment.

    Args:
        callers: One for each daemon.
        lot_id: The lot.
        lot_class: Its class.
        prompts: One for each group.
        get_version: Returns the trainer's weight version now.
        max_staleness: The bound to check samples against.
        deadline_s: Longest time for everything.
        call_timeout_s: Longest wait for one answer.
        max_groups: Most groups of one pull.
    """
    result = TrainerResult()
    turn = 0

    async def call(verb: str, make_value) -> dict:
        nonlocal turn
        target = f"/v1/lots/{lot_id}" + (f"/{verb}" if verb else "")
        while True:
            caller = callers[turn % len(callers)]
            with contextlib.suppress(RequestFailedError):
                answer = await caller.send(
                    "POST", target, make_value(), timeout_s=call_timeout_s
                )
                if answer.status == _OK:
                    return msgspec.json.decode(answer.body)
            turn += 1
            result.retries += 1
            await anyio.sleep(0.1)

    async def pull(pull_id: str) -> bool:
        version = 0

        def ask() -> dict:
            nonlocal version
            version = get_version()
            return {
                "pull_id": pull_id,
                "version": version,
                "max_groups": max_groups,
                "wait_s": _PULL_WAIT_S,
            }

        started_s = anyio.current_time()
        answer = await call("pull", ask)
        result.idle_s += anyio.current_time() - started_s
        result.take(answer["groups"], version, max_staleness)
        if answer["groups"]:
            await call("ack", lambda: {"pull_id": pull_id})
        return bool(answer["groups"])

    with anyio.fail_after(deadline_s):
        opening = {"lot_class": lot_class, "prompts": prompts}
        opened = await call("", lambda: opening)
        for pull_id in opened["open_pulls"]:
            while not await pull(pull_id):
                pass
        number = 0
        while len(result.groups) < len(prompts):
            number += await pull(f"{lot_id}-{number + 1}")
        await call("close", dict)
    return result
