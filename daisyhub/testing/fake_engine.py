"""A fake model engine: generation, weight orders and load reports."""

import hashlib

import anyio
import msgspec
from absl import app, flags

from daisyhub.logs import set_up_logs
from daisyhub.testing.fake_app import FakeApp, Request, Response, serve_fake

__all__ = ["FakeEngine"]

_TOKEN_S = flags.DEFINE_float("token_s", 0.002, "Seconds per generated token.")
_SWAP_S = flags.DEFINE_float("swap_s", 0.05, "Seconds per weight swap.")
_CAPACITY = flags.DEFINE_integer(
    "capacity", 16, "Maximum number of concurrent samples."
)
_CHECKS_FENCING = flags.DEFINE_bool(
    "checks_fencing",
    True,
    "Whether orders with stale fencing numbers are rejected.",
)


class _GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    prompt: str
    max_tokens: int
    sample: int = 0


class _Order(msgspec.Struct, frozen=True, kw_only=True):
    kind: str
    version: int
    fencing: int


class FakeEngine(FakeApp):
    """Generates tokens from a hash of the prompt and the sample number.

    Each token is labelled with the weight version that is active when it is
    generated. `POST /admin/leave` sets the state to leaving; `GET
    /admin/orders` returns the accepted orders.

    Args:
        token_s: Seconds per token.
        swap_s: Seconds per weight swap.
        capacity: Reported capacity; it isn't enforced.
        checks_fencing: Whether orders with stale fencing numbers are rejected.
    """

    def __init__(
        self,
        token_s: float = 0.002,
        swap_s: float = 0.05,
        capacity: int = 16,
        checks_fencing: bool = True,
    ):
        super().__init__()
        self.token_s = token_s
        self.swap_s = swap_s
        self.capacity = capacity
        self.checks_fencing = checks_fencing
        self._version = 0
        self._highest_fencing = 0
        self._running_count = 0
        self._is_leaving = False
        self._orders: list[_Order] = []

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        match request.path:
            case "/generate" if self._is_leaving:
                return self._respond(503, {}, (b"endpoint-ran", b"no"))
            case "/generate":
                return await self._generate(request.json(_GenerateRequest))
            case "/orders":
                return await self._handle_order(request.json(_Order))
            case "/load":
                return self._respond(200, {})
            case "/admin/leave":
                self._is_leaving = True
                return self._respond(200, {})
            case "/admin/orders":
                return self._respond(200, self._orders)
        return Response(status=404)

    def _respond(self, status: int, value: object, *headers) -> Response:
        state = b"leaving" if self._is_leaving else b"live"
        endpoint_headers = (
            (b"endpoint-load", str(self._running_count).encode()),
            (b"endpoint-capacity", str(self.capacity).encode()),
            (b"endpoint-weight-version", str(self._version).encode()),
            (b"endpoint-state", state),
        )
        return Response(
            status=status, value=value, headers=(*endpoint_headers, *headers)
        )

    async def _generate(self, request: _GenerateRequest) -> Response:
        self._running_count += 1
        try:
            seed = f"{request.prompt}/{request.sample}".encode()
            digest = hashlib.sha256(seed).digest()
            count = 1 + digest[0] % request.max_tokens
            versions = []
            for _ in range(count):
                await anyio.sleep(self.token_s)
                versions.append(self._version)
        finally:
            self._running_count -= 1
        tokens = [digest[i % len(digest)] for i in range(count)]
        value = {"tokens": tokens, "spans": _version_spans(versions)}
        return self._respond(
            200, value, (b"endpoint-tokens", str(count).encode())
        )

    async def _handle_order(self, order: _Order) -> Response:
        if self.checks_fencing and order.fencing < self._highest_fencing:
            return self._respond(409, {"fencing": self._highest_fencing})
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self._orders.append(order)
        await anyio.sleep(self.swap_s)
        self._version = max(self._version, order.version)
        return self._respond(200, {"version": self._version})


def _version_spans(versions: list[int]) -> list[dict[str, int]]:
    spans = []
    for position, version in enumerate(versions):
        if spans and spans[-1]["version"] == version:
            spans[-1]["end"] = position + 1
            continue
        spans.append(
            {"version": version, "start": position, "end": position + 1}
        )
    return spans


def _run(_: list[str]) -> None:
    set_up_logs("text")
    serve_fake(
        FakeEngine(
            _TOKEN_S.value,
            _SWAP_S.value,
            _CAPACITY.value,
            _CHECKS_FENCING.value,
        )
    )


if __name__ == "__main__":
    app.run(_run)
