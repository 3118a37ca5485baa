"""A fake plain service: records to look up, filings that must run once."""

import anyio
from absl import app, flags

from daisyhub.logs import set_up_logs
from daisyhub.testing.fake_app import FakeApp, Request, Response, serve_fake

__all__ = ["FakeService"]

_SERVICE_S = flags.DEFINE_float("service_s", 0.002, "Seconds a request.")
_NAME = flags.DEFINE_string("name", "service", "Name in its answers.")
_STREAM_CHUNKS = 40
_STREAM_PAUSE_S = 0.05


class FakeService(FakeApp):
    """Answers look-ups; notes each filing that it runs.

    `GET /admin/filings` tells the request ids and bodies of filings, `GET
    /admin/headers` the header names seen, `POST /admin/leave` makes it
    leaving.
    """

    def __init__(self, service_s: float = 0.002, name: str = "service"):
        super().__init__()
        self.service_s = service_s
        self.name = name
        self._filings: list[str] = []
        self._headers: set[str] = set()
        self._running = 0
        self._is_leaving = False

    async def handle(self, call: Request) -> Response:
        """Serves one call."""
        if call.path == "/admin/filings":
            return Response(value=self._filings)
        if call.path == "/admin/headers":
            return Response(value=sorted(self._headers))
        if call.path == "/admin/leave":
            self._is_leaving = True
        if call.path in ("/load", "/admin/leave"):
            return self._reply(200, {})
        self._headers.update(call.headers)
        if self._is_leaving:
            return self._reply(503, {}, (b"endpoint-ran", b"no"))
        return await self._work(call)

    async def _work(self, call: Request) -> Response:
        self._running += 1
        try:
            await anyio.sleep(self.service_s)
        finally:
            self._running -= 1
        if call.path.startswith("/stream"):
            chunks = tuple(
                f"chunk {i}\n".encode() for i in range(_STREAM_CHUNKS)
            )
            return Response(chunks=chunks, chunk_pause_s=_STREAM_PAUSE_S)
        if call.method == "POST":
            self._filings.append(call.body.decode())
            number = len(self._filings)
            return self._reply(201, {"filed": call.body.decode(), "no": number})
        account = call.headers.get("daisyhub-account", "")
        value = {"path": call.path, "account": account, "by": self.name}
        return self._reply(200, value)

    def _reply(self, status: int, value: object, *headers) -> Response:
        state = b"leaving" if self._is_leaving else b"live"
        news = (
            (b"endpoint-load", str(self._running).encode()),
            (b"endpoint-state", state),
        )
        return Response(status=status, value=value, headers=(*news, *headers))


def _run(_: list[str]) -> None:
    set_up_logs("text")
    serve_fake(FakeService(_SERVICE_S.value, _NAME.value))


if __name__ == "__main__":
    app.run(_run)
