"""The ASGI application for operators: health, readiness, metrics, status.

`DELETE /blocked/CONTENT` lets a request be sent again that was blocked because
endpoints ended under it.
"""

from collections.abc import Awaitable, Callable

import msgspec

from daisyhub.metrics import Metrics

__all__ = ["OperatorsApp"]

_TEXT_TYPE = b"text/plain; charset=utf-8"
_JSON_TYPE = b"application/json"
_BLOCKED_PATH = "/blocked/"


class OperatorsApp:
    """Serves `/healthz`, `/readyz`, `/metrics` and `/status`.

    Args:
        metrics: Metrics that `/metrics` returns.
        is_ready: Returns whether the daemon accepts new requests.
        get_status: Returns the daemon's status as JSON values.
        ready_path: Path of the readiness check.
        lift_block: Lets a blocked request be sent again, identified by the
            digest of its content; returns whether it was blocked.
    """

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        get_status: Callable[[], dict[str, object]],
        ready_path: str = "/readyz",
        lift_block: Callable[[str], bool] = lambda _: False,
    ):
        self._metrics = metrics
        self._is_ready = is_ready
        self._get_status = get_status
        self._ready_path = ready_path
        self._lift_block = lift_block

    async def __call__(
        self,
        scope: dict,
        receive: Callable[[], Awaitable[dict]],
        send: Callable[[dict], Awaitable[None]],
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if scope["method"] == "DELETE" and path.startswith(_BLOCKED_PATH):
            is_lifted = self._lift_block(path.removeprefix(_BLOCKED_PATH))
            status = 200 if is_lifted else 404
            body = b"lifted\n" if is_lifted else b"not blocked\n"
            content_type = _TEXT_TYPE
        else:
            status, content_type, body = self._respond(path)
        headers = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _respond(self, path: str) -> tuple[int, bytes, bytes]:
        """Returns status, content type and body."""
        match path:
            case "/healthz":
                return 200, _TEXT_TYPE, b"ok\n"
            case self._ready_path if self._is_ready():
                return 200, _TEXT_TYPE, b"ready\n"
            case self._ready_path:
                return 503, _TEXT_TYPE, b"not ready\n"
            case "/metrics":
                return 200, _TEXT_TYPE, self._metrics.render().encode()
            case "/status":
                return 200, _JSON_TYPE, msgspec.json.encode(self._get_status())
        return 404, _TEXT_TYPE, b"not found\n"
