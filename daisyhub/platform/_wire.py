"""Headers and calls of callers and endpoints, as the platform spells them.

Where the platform's names mislead: the deadline header holds a duration in
milliseconds, the stamp is the endpoint's proof of an answer, the instance is
the endpoint's id, and the tenant is the client account.
"""

import re
import urllib.parse

from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.gateway import (
    CallerWire,
    EndpointRequest,
    EndpointResponseHead,
    EndpointWire,
)
from daisyhub.lots import EndLot, LotCall, ReadItemBody, ReadResults
from daisyhub.messages import BodyReader, Header, Request, Response

__all__ = ["PlatformCallerWire", "PlatformEndpointWire"]

_REQUEST_ID = b"daisyhub-request-id"
_DEADLINE_MS = b"daisyhub-deadline-ms"
_KEY = b"api-key"
_WAIT_MS = b"daisyhub-wait-ms"
_ACCOUNT = b"daisyhub-tenant"
_ENDPOINT = b"daisyhub-expect-instance"
_RESUME_AFTER = b"last-event-id"
_NOT_RUN = b"daisyhub-not-executed"
_LOAD = b"daisyhub-server-load"
_PROOF = b"daisyhub-server-stamp"
_WEIGHTS = b"daisyhub-weight-versions"
# Headers of one connection only, and those that are set anew for each hop.
_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
_OWN_HEADERS = _HOP_HEADERS | {
    b"host",
    _REQUEST_ID,
    _DEADLINE_MS,
    _KEY,
    _ACCOUNT,
    _ENDPOINT,
}
_OTHER_ENDPOINT_STATUS = 421
_MS_PER_S = 1000.0
# Seconds that a caller without a deadline is taken to wait; the longest
# time-out of a route is far shorter.
_NO_DEADLINE_S = 600.0
# Seconds that a reader of results may be kept waiting; the page states it.
_LONGEST_WAIT_S = 1.0
_NUMBER = re.compile(rb"\d{1,9}(\.\d{1,6})?")
_VERSION = re.compile(rb"\d{1,9}")
_LOTS = "/v1/lots/"
_ITEMS = "/v1/items/"


class PlatformCallerWire(CallerWire):
    """How callers of the platform speak."""

    def read_request(
        self, scope: dict, read_body: BodyReader, now_s: float
    ) -> Request:
        """Returns the request; see `CallerWire.read_request`."""
        headers = tuple(scope["headers"])
        known = dict(headers)
        if b"host" not in known:
            raise Refusal(ErrorCode.HEADER_INVALID, "the host is missing")
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        remaining_s = _seconds(known, _DEADLINE_MS, _NO_DEADLINE_S)
        return Request(
            request_id=known.get(_REQUEST_ID, b"").decode("latin-1"),
            method=scope["method"],
            path=path,
            query=query,
            host=known[b"host"].decode("latin-1"),
            headers=headers,
            read_body=read_body,
            started_s=now_s,
            deadline_s=now_s + remaining_s,
            key=known.get(_KEY, b"").decode("latin-1"),
            lot_call=_lot_call(scope["method"], path, query, known),
        )

    def response_headers(self, resp: Response) -> tuple[Header, ...]:
        """Returns all headers but those of one connection."""
        return tuple(
            item for item in resp.headers if item[0] not in _HOP_HEADERS
        )


class PlatformEndpointWire(EndpointWire):
    """How endpoints of the platform are spoken to."""

    def request_headers(self, req: EndpointRequest) -> tuple[Header, ...]:
        """Returns the headers; the caller's key is never among them."""
        headers = [
            (b"host", req.host.encode("latin-1")),
            (_REQUEST_ID, req.request_id.encode("latin-1")),
            (_DEADLINE_MS, str(int(req.remaining_s * _MS_PER_S)).encode()),
            (_ENDPOINT, req.endpoint_id.encode("latin-1")),
        ]
        if req.account:
            headers.append((_ACCOUNT, req.account.encode("latin-1")))
        if req.resume_after:
            headers.append((_RESUME_AFTER, str(req.resume_after).encode()))
        headers += [h for h in req.headers if h[0] not in _OWN_HEADERS]
        return tuple(headers)

    def read_response_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> EndpointResponseHead:
        """Reads a response head; see `EndpointWire.read_response_head`."""
        known = dict(headers)
        is_other = status == _OTHER_ENDPOINT_STATUS
        weights = known.get(_WEIGHTS, b"")
        return EndpointResponseHead(
            is_not_run=is_other or _NOT_RUN in known,
            is_misdirected=is_other,
            load=_load(known.get(_LOAD, b"")),
            proof=known.get(_PROOF, b"").decode("latin-1"),
            weight_version=int(weights) if _VERSION.fullmatch(weights) else 0,
        )


def _seconds(known: dict[bytes, bytes], name: bytes, default_s: float) -> float:
    value = known.get(name)
    if value is None or not _NUMBER.fullmatch(value):
        return default_s
    return float(value) / _MS_PER_S


def _load(value: bytes) -> int | None:
    """Reads `running,waiting,slots`; None if the answer doesn't tell."""
    parts = value.split(b",")
    if len(parts) != len(("running", "waiting", "slots")):
        return None
    if not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]) + int(parts[1])


def _lot_call(
    method: str, path: str, query: str, known: dict[bytes, bytes]
) -> LotCall | None:
    """Returns the call about a lot that the path names, if it names one."""
    words = urllib.parse.parse_qs(query)
    if path.startswith(_LOTS):
        lot_id = urllib.parse.unquote(path[len(_LOTS) :])
        if method == "DELETE":
            return EndLot(lot_id)
        after = words.get("after", ["0"])[0]
        wait_s = _seconds(known, _WAIT_MS, 0.0)
        return ReadResults(
            lot_id,
            int(after) if after.isdigit() else 0,
            min(wait_s, _LONGEST_WAIT_S),
        )
    if path.startswith(_ITEMS):
        lot_id = urllib.parse.unquote(path[len(_ITEMS) :])
        return ReadItemBody(lot_id, words.get("id", [""])[0])
    return None
