"""A JSON client for daemons and fakes, and a fake trainer."""

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
    """Sends requests to one daemon or fake.

    Args:
        address: Address of the daemon or fake.
        key: The API key; empty to send none.
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
        """Sends one request with `value` as JSON; None sends no body.

        It is sent on a new connection if `fresh` is true.

        Raises:
            RequestFailedError: No complete response was received.
        """
        auth_headers = []
        if self.key:
            auth_headers.append(
                (b"authorization", f"Bearer {self.key}".encode())
            )
        body = b"" if value is None else msgspec.json.encode(value)
        return await self.http.request(
            method,
            self.address,
            target,
            headers=(*auth_headers, *headers),
            body=body,
            timeout_s=timeout_s,
            fresh=fresh,
        )

    async def json(self, method: str, target: str, value: object = None):
        """Sends one request like `send`; returns the decoded JSON body."""
        response = await self.send(method, target, value)
        return msgspec.json.decode(response.body)

    async def aclose(self) -> None:
        """Closes idle connections."""
        await self.http.aclose()


@dataclasses.dataclass(slots=True)
class TrainerResult:
    """What a fake trainer received.

    Attributes:
        groups: Samples by group number, as JSON values.
        duplicate_groups: Number of groups that were delivered again.
        stale_samples: Number of samples that exceeded the maximum staleness.
        mixed_version_samples: Number of samples generated under more than one
            weight version.
        idle_s: Time spent waiting for pulls.
        retries: Number of calls that were sent again.
    """

    groups: dict[int, list] = dataclasses.field(default_factory=dict)
    duplicate_groups: int = 0
    stale_samples: int = 0
    mixed_version_samples: int = 0
    idle_s: float = 0.0
    retries: int = 0

    def add_groups(
        self, groups: list, version: int, max_staleness: int
    ) -> None:
        """Adds the groups of one pull and checks them.

        Args:
            groups: The groups, as JSON values.
            version: The trainer's weight version when it pulled.
            max_staleness: Maximum staleness of a sample, in versions.
        """
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
    """Opens a lot, pulls and acknowledges all groups, and closes the lot.

    A call that fails is retried at the next daemon. A pull keeps its id until
    it returns groups; a retry sends the weight version that is current then.

    Args:
        callers: One for each daemon.
        lot_id: Id of the lot.
        lot_class: Class of the lot.
        prompts: One prompt for each group.
        get_version: Returns the current weight version of the trainer.
        max_staleness: Maximum staleness of a sample, in versions.
        deadline_s: Timeout of the whole run.
        call_timeout_s: Timeout of one call.
        max_groups: Maximum number of groups per pull.

    Returns:
        The received groups and the results of the checks.

    Raises:
        TimeoutError: The run took longer than `deadline_s`.
    """
    result = TrainerResult()
    caller_index = 0

    async def call(verb: str, make_body) -> dict:
        nonlocal caller_index
        target = f"/v1/lots/{lot_id}" + (f"/{verb}" if verb else "")
        while True:
            caller = callers[caller_index % len(callers)]
            with contextlib.suppress(RequestFailedError):
                response = await caller.send(
                    "POST", target, make_body(), timeout_s=call_timeout_s
                )
                if response.status == _OK:
                    return msgspec.json.decode(response.body)
            caller_index += 1
            result.retries += 1
            await anyio.sleep(0.1)

    async def pull(pull_id: str) -> bool:
        version = 0

        def make_request() -> dict:
            nonlocal version
            version = get_version()
            return {
                "pull_id": pull_id,
                "version": version,
                "max_groups": max_groups,
                "wait_s": _PULL_WAIT_S,
            }

        started_s = anyio.current_time()
        response = await call("pull", make_request)
        result.idle_s += anyio.current_time() - started_s
        result.add_groups(response["groups"], version, max_staleness)
        if response["groups"]:
            await call("ack", lambda: {"pull_id": pull_id})
        return bool(response["groups"])

    with anyio.fail_after(deadline_s):
        open_request = {"lot_class": lot_class, "prompts": prompts}
        open_response = await call("", lambda: open_request)
        # Repeats the pulls of the lot that aren't acknowledged yet.
        for pull_id in open_response["open_pulls"]:
            while not await pull(pull_id):
                pass
        delivered_pull_count = 0
        while len(result.groups) < len(prompts):
            delivered_pull_count += await pull(
                f"{lot_id}-{delivered_pull_count + 1}"
            )
        await call("close", dict)
    return result
