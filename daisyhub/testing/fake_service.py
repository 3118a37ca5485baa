"""A fake plain service: idempotent look-ups and non-idempotent filings."""

import anyio
from absl import app, flags

from daisyhub.logs import set_up_logs
from daisyhub.testing.fake_app import (
    LARGE_TEXT,
    FakeApp,
    Request,
    Response,
    serve_fake,
)

__all__ = ["FakeService"]

_SERVICE_S = flags.DEFINE_float("service_s", 0.002, "Seconds per request.")
_NAME = flags.DEFINE_string("name", "service", "Name that responses contain.")
_STREAM_CHUNKS = 40
_STREAM_PAUSE_S = 0.05


class FakeService(FakeApp):
    """Responds to look-ups and records each filing (POST) that it runs.

    Paths below `/stream` get a streamed response with any method, and the
    response of `/records/large` has 4 MB.

    `GET /admin/filings` returns the bodies of all filings, `GET
    /admin/headers` the names of all headers received; `POST /admin/leave` sets
    the state to leaving.

    Args:
        service_s: Seconds per request.
        name: Name that responses contain.
    """

    def __init__(self, service_s: float = 0.002, name: str = "service"):
        super().__init__()
        self.service_s = service_s
        self.name = name
        self._filings: list[str] = []
        self._headers: set[str] = set()
        self._running_count = 0
        self._is_leaving = False

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        if request.path == "/admin/filings":
            return Response(value=self._filings)
        if request.path == "/admin/headers":
            return Response(value=sorted(self._headers))
        if request.path == "/admin/leave":
            self._is_leaving = True
        if request.path in ("/load", "/admin/leave"):
            return self._respond(200, {})
        self._headers.update(request.headers)
        if self._is_leaving:
            return self._respond(503, {}, (b"endpoint-ran", b"no"))
        return await self._run_request(request)

    async def _run_request(self, request: Request) -> Response:
        self._running_count += 1
        try:
            await anyio.sleep(self.service_s)
        finally:
            self._running_count -= 1
        if request.path.startswith("/stream"):
            chunks = tuple(
                f"chunk {i}\n".encode() for i in range(_STREAM_CHUNKS)
            )
            return Response(chunks=chunks, chunk_pause_s=_STREAM_PAUSE_S)
        if request.method == "POST":
            self._filings.append(request.body.decode())
            number = len(self._filings)
            return self._respond(
                201, {"filed": request.body.decode(), "no": number}
            )
        if request.path == "/records/large":
            return self._respond(200, LARGE_TEXT)
        account = request.headers.get("daisyhub-account", "")
        value = {"path": request.path, "account": account, "by": self.name}
        return self._respond(200, value)

    def _respond(self, status: int, value: object, *headers) -> Response:
        state = b"leaving" if self._is_leaving else b"live"
        endpoint_headers = (
            (b"endpoint-load", str(self._running_count).encode()),
            (b"endpoint-state", state),
        )
        return Response(
            status=status, value=value, headers=(*endpoint_headers, *headers)
        )


def _run(_: list[str]) -> None:
    set_up_logs("text")
    serve_fake(FakeService(_SERVICE_S.value, _NAME.value))


if __name__ == "__main__":
    app.run(_run)
