"""Wire formats between callers, this daemon and endpoints on the platform.

Some of the platform's names need an explanation: the deadline header contains
a duration in milliseconds, the stamp is the endpoint's proof that a response is
its own, the instance is the endpoint's id, and the tenant is the client
account.
"""

import math
import re
import urllib.parse

from daisyhub.balancing import EndpointLoad
from daisyhub.exceptions import (
    NOT_RUN_STATUSES,
    ErrorCode,
    ExecutionStatus,
    Refusal,
)
from daisyhub.gateway import (
    CallerWire,
    EndpointRequest,
    EndpointResponseHead,
    EndpointWire,
)
from daisyhub.json_texts import parse_count
from daisyhub.lots import EndLot, LotCall, ReadItemBody, ReadResults
from daisyhub.messages import (
    BodyReader,
    Header,
    Request,
    Response,
    Resumption,
)

__all__ = ["PlatformCallerWire", "PlatformEndpointWire"]

# Header names.
_REQUEST_ID = b"daisyhub-request-id"
_DEADLINE_MS = b"daisyhub-deadline-ms"
_KEY = b"api-key"
_WAIT_MS = b"daisyhub-wait-ms"
_ACCOUNT = b"daisyhub-tenant"
_ENDPOINT = b"daisyhub-expect-instance"
_RESUME_AFTER = b"last-event-id"
# Id of the request that brought the first event of a resumed stream.
_RESUMES = b"resumes"
_NOT_RUN = b"daisyhub-not-executed"
_LOAD = b"daisyhub-server-load"
_COLD_MS = b"daisyhub-cold-ms"
_PROOF = b"daisyhub-server-stamp"
_WEIGHTS = b"daisyhub-weight-versions"
_LEAVING = b"server-leaving"
# The only value that announces an endpoint's leaving.
_IS_LEAVING = b"1"
_RATE_LIMIT = b"server-limit"
# Headers that apply to one connection only or are set again for each hop.
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
# Headers of the caller that are dropped or set to other values.
_NOT_FORWARDED_HEADERS = _HOP_HEADERS | {
    b"host",
    _REQUEST_ID,
    _DEADLINE_MS,
    _KEY,
    _ACCOUNT,
    _ENDPOINT,
}
_MISDIRECTED_STATUS = 421
_MS_PER_S = 1000.0
# Seconds until the deadline of a request whose deadline header is absent or
# invalid; the longest timeout of a route is far shorter.
_DEFAULT_DEADLINE_S = 600.0
# Maximum long-poll time for results, in seconds; set by the platform's
# interface.
_MAX_RESULT_WAIT_S = 1.0
_MILLISECONDS = re.compile(rb"\d{1,9}(\.\d{1,6})?")
# Bounded in length, so that no value overflows.
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_VERSION = re.compile(rb"\d{1,9}")
# Figures of the load header; further ones are ignored.
_LOAD_COUNTS = 3
_PACE_POSITION = 3
# The pace of a machine on which work takes as long as usual.
_USUAL_PACE = 100.0
# Values of the header for the last event that name none.
_NO_EVENT = (b"", b"0")
_LOTS_PATH = "/v1/lots/"
_ITEMS_PATH = "/v1/items/"


class PlatformCallerWire(CallerWire):
    """Wire format of the platform's callers."""

    def read_request(
        self, scope: dict, read_body: BodyReader, now_s: float
    ) -> Request:
        """Returns the request; see `CallerWire.read_request`."""
        headers = tuple(scope["headers"])
        by_name = dict(headers)
        if b"host" not in by_name:
            raise Refusal(
                ErrorCode.HEADER_INVALID,
                "the host is missing",
                ran=ExecutionStatus.NOT_RUN,
            )
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        stated_s = _read_seconds(by_name, _DEADLINE_MS, None)
        remaining_s = _DEFAULT_DEADLINE_S if stated_s is None else stated_s
        return Request(
            request_id=by_name.get(_REQUEST_ID, b"").decode("latin-1"),
            method=scope["method"],
            path=path,
            query=query,
            host=by_name[b"host"].decode("latin-1"),
            headers=headers,
            read_body=read_body,
            started_s=now_s,
            deadline_s=now_s + remaining_s,
            stated_deadline_s=None if stated_s is None else now_s + stated_s,
            key=by_name.get(_KEY, b"").decode("latin-1"),
            lot_call=_read_lot_call(scope["method"], path, query, by_name),
            resumption=_read_resumption(by_name),
        )

    def response_headers(self, resp: Response) -> tuple[Header, ...]:
        """Returns all headers except those of a single connection."""
        return tuple(
            header for header in resp.headers if header[0] not in _HOP_HEADERS
        )


class PlatformEndpointWire(EndpointWire):
    """Wire format of the platform's endpoints."""

    def request_headers(self, req: EndpointRequest) -> tuple[Header, ...]:
        """Returns the headers; the caller's key is never included."""
        headers = [
            (b"host", req.host.encode("latin-1")),
            (_REQUEST_ID, req.request_id.encode("latin-1")),
            (_DEADLINE_MS, str(int(req.remaining_s * _MS_PER_S)).encode()),
            (_ENDPOINT, req.endpoint_id.encode("latin-1")),
        ]
        if req.account:
            headers.append((_ACCOUNT, req.account.encode("latin-1")))
        not_forwarded = _NOT_FORWARDED_HEADERS
        if req.resume_after:
            headers.append((_RESUME_AFTER, str(req.resume_after).encode()))
            # The caller resumes its own stream elsewhere, or not at all.
            not_forwarded = not_forwarded | {_RESUME_AFTER}
        headers += [h for h in req.headers if h[0] not in not_forwarded]
        return tuple(headers)

    def read_response_head(
        self, status: int, headers: tuple[Header, ...]
    ) -> EndpointResponseHead:
        """Reads a response head; see `EndpointWire.read_response_head`."""
        by_name = dict(headers)
        is_misdirected = status == _MISDIRECTED_STATUS
        weights = by_name.get(_WEIGHTS, b"")
        load, load_error = _read_load(by_name.get(_LOAD))
        # Another endpoint's response says nothing about this one.
        cold_ms = None if is_misdirected else by_name.get(_COLD_MS)
        cold_left_s, cold_error = _read_cold_s(cold_ms)
        return EndpointResponseHead(
            is_not_run=is_misdirected or _NOT_RUN in by_name,
            is_misdirected=is_misdirected,
            is_promise=status in NOT_RUN_STATUSES,
            load=load,
            load_error=load_error,
            cold_left_s=cold_left_s,
            cold_error=cold_error,
            proof=by_name.get(_PROOF, b"").decode("latin-1"),
            weight_version=int(weights) if _VERSION.fullmatch(weights) else 0,
            # Another endpoint's response says nothing about this one.
            is_leaving=not is_misdirected and _announces_leaving(headers),
            rate_limit=None if is_misdirected else _read_rate_limit(headers),
        )


def _read_seconds(
    by_name: dict[bytes, bytes], name: bytes, default_s: float | None
) -> float | None:
    """Returns a header's milliseconds in seconds.

    `default_s` if the header is absent or invalid.
    """
    value = by_name.get(name)
    if value is None or not _MILLISECONDS.fullmatch(value):
        return default_s
    return float(value) / _MS_PER_S


def _announces_leaving(headers: tuple[Header, ...]) -> bool:
    """Whether any of the headers of that name has the value 1."""
    return any(
        name == _LEAVING and value.strip() == _IS_LEAVING
        for name, value in headers
    )


def _read_rate_limit(headers: tuple[Header, ...]) -> float | None:
    """Returns the lowest valid limit of a response, in requests a second.

    Infinite without that header, None if it has no valid value.
    """
    stated = [value.strip() for name, value in headers if name == _RATE_LIMIT]
    if not stated:
        return math.inf
    valid = [float(value) for value in stated if _DECIMAL.fullmatch(value)]
    return min(valid, default=None)


def _read_resumption(by_name: dict[bytes, bytes]) -> Resumption | None:
    """Returns the stream that a request goes on with; None for a new one.

    Without an event, a caller has nothing to go on from.
    """
    after = by_name.get(_RESUME_AFTER, b"").strip()
    first_id = by_name.get(_RESUMES, b"").strip()
    if after in _NO_EVENT and not first_id:
        return None
    return Resumption(first_id.decode("latin-1"), after.decode("latin-1"))


def _read_load(value: bytes | None) -> tuple[EndpointLoad | None, str]:
    """Reads `running,waiting,slots` or `running,waiting,slots,pace`.

    Returns:
        The load and an error; None without a header or with counts that can't
        be read. If only the pace can't be read, the counts are returned.
    """
    if value is None:
        return None, ""
    figures = [part.strip() for part in value.split(b",")]
    counts = figures[:_LOAD_COUNTS]
    is_valid = len(counts) == _LOAD_COUNTS and all(
        _VERSION.fullmatch(count) for count in counts
    )
    if not is_valid:
        return None, f"load {value!r} has no three counts"
    running, waiting, slots = (int(count) for count in counts)
    if len(figures) == _LOAD_COUNTS:
        return EndpointLoad(running, waiting, slots), ""
    pace = figures[_PACE_POSITION]
    if not _DECIMAL.fullmatch(pace) or float(pace) <= 0:
        error = f"pace {pace!r} of load {value!r} is no positive number"
        return EndpointLoad(running, waiting, slots), error
    relative = float(pace) / _USUAL_PACE
    return EndpointLoad(running, waiting, slots, relative), ""


def _read_cold_s(value: bytes | None) -> tuple[float | None, str]:
    """Returns the seconds for which an endpoint stays cold, and an error.

    None without a header, or if it can't be read.
    """
    if value is None:
        return None, ""
    if not _MILLISECONDS.fullmatch(value):
        return None, f"cold time {value[:40]!r} is no number of milliseconds"
    return float(value) / _MS_PER_S, ""


def _read_lot_call(
    method: str, path: str, query: str, by_name: dict[bytes, bytes]
) -> LotCall | None:
    """Returns the lot call that the path addresses, or None."""
    params = urllib.parse.parse_qs(query)
    if path.startswith(_LOTS_PATH):
        lot_id = urllib.parse.unquote(path[len(_LOTS_PATH) :])
        if method == "DELETE":
            return EndLot(lot_id)
        after = params.get("after", ["0"])[0]
        wait_s = _read_seconds(by_name, _WAIT_MS, 0.0)
        return ReadResults(
            lot_id,
            parse_count(after) or 0,
            min(wait_s, _MAX_RESULT_WAIT_S),
        )
    if path.startswith(_ITEMS_PATH):
        lot_id = urllib.parse.unquote(path[len(_ITEMS_PATH) :])
        return ReadItemBody(lot_id, params.get("id", [""])[0])
    return None
