"""Wire formats of lots, their results and event streams on the platform.

Some of the platform's names need an explanation: `min-version` is the oldest
weight version that may be used, `desired-count` is the number of groups that
the trainer waits for, `scorer` is the reward call, `next-token` is the position
after the last result, and `dead_letter` is the state of an item that was given
up. The `body` of an item or a scorer is base64, which msgspec decodes.
"""

import msgspec

from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.json_texts import (
    decode_json,
    estimate_decoded_bytes,
    parse_count,
)
from daisyhub.lots import (
    EventReader,
    ItemResult,
    ItemSpec,
    LotHead,
    LotSpec,
    LotWire,
    ResultState,
    RewardSpec,
    StreamEvent,
)
from daisyhub.messages import Request

__all__ = ["PlatformLotWire", "may_be_lot"]

_STATE_NAMES = {
    ResultState.COMPLETED: "completed",
    ResultState.GIVEN_UP: "dead_letter",
}
_VERSION_PREFIX = b"daisyhub-weight-versions:"
_LENGTH_HINT_HEADER = "daisyhub-length-hint"
_ID_PREFIX = b"id:"
_DATA_PREFIX = b"data:"
# Memory up to which a body is decoded only to tell whether it is a lot, in
# bytes.
_MAX_DECODED_BYTES = 1 << 24
# Limit for events that never end; real events have some hundred bytes.
_MAX_EVENT_BYTES = 1 << 20


class _Scorer(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    body: bytes = b""


class _Item(msgspec.Struct, frozen=True):
    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    group: str = ""
    scorer: _Scorer | None = None


class _Lot(msgspec.Struct, frozen=True, rename="kebab"):
    items: tuple[_Item, ...]
    step: int = 0
    model: str = ""
    min_version: int = 0
    desired_count: int = 0


class _Result(msgspec.Struct, frozen=True, omit_defaults=True):
    id: str
    state: str
    text: str
    versions: tuple[int, ...] = ()
    score: str = ""


class _Results(msgspec.Struct, frozen=True, rename="kebab"):
    total: int
    next_token: int
    results: list[_Result]


class PlatformLotWire(LotWire):
    """Wire format of the platform's trainers and engines."""

    def read_lot(self, req: Request, accepted_s: float) -> LotSpec:
        """Returns the lot; see `LotWire.read_lot`."""
        try:
            lot = decode_json(req.body, type=_Lot)
        except msgspec.DecodeError as exc:
            raise Refusal(
                ErrorCode.BODY_INVALID,
                f"invalid lot: {exc}",
                ran=ExecutionStatus.NOT_RUN,
            ) from exc
        items = tuple(_to_item_spec(item) for item in lot.items)
        ids = {item.item_id for item in items}
        if not req.request_id or not items or len(ids) != len(items):
            raise Refusal(
                ErrorCode.BODY_INVALID,
                "a lot needs an id and items with unique ids",
                ran=ExecutionStatus.NOT_RUN,
            )
        route = req.route
        head = LotHead(
            lot_id=req.request_id,
            account=req.account,
            host=req.host,
            path=req.path,
            step=lot.step,
            model=lot.model,
            oldest_version=lot.min_version,
            wanted_groups=lot.desired_count,
            total=len(items),
            accepted_s=accepted_s,
            due_s=route.due_s,
            max_wait_s=route.max_wait_s,
            max_attempts=route.max_attempts,
            is_single_version=route.is_single_version,
        )
        return LotSpec(head=head, items=items)

    def may_be_lot(self, body: bytes) -> bool:
        """Whether the body may be a lot; see `LotWire.may_be_lot`."""
        return may_be_lot(body)

    def write_results(
        self, total: int, after: int, results: list[ItemResult]
    ) -> bytes:
        """Returns the body; see `LotWire.write_results`."""
        encoded = [
            _Result(
                id=result.item_id,
                state=_STATE_NAMES[result.state],
                text=result.text,
                versions=result.versions,
                score=result.score,
            )
            for result in results
        ]
        return msgspec.json.encode(
            _Results(
                total=total, next_token=after + len(encoded), results=encoded
            )
        )

    def make_reader(self, version: int) -> EventReader:
        """Returns a reader; see `LotWire.make_reader`."""
        return _EventReader(version)


def may_be_lot(body: bytes) -> bool:
    """Whether a request body is a lot that a daemon may have stored.

    True if telling it takes too much memory.
    """
    if estimate_decoded_bytes(body) > _MAX_DECODED_BYTES:
        return True
    try:
        return bool(decode_json(body, type=_Lot).items)
    except msgspec.DecodeError:
        return False


def _to_item_spec(item: _Item) -> ItemSpec:
    scorer = item.scorer
    headers = {key.lower(): value for key, value in item.headers.items()}
    hint = headers.get(_LENGTH_HINT_HEADER, "")
    return ItemSpec(
        item_id=item.id,
        path=item.path,
        headers=headers,
        body=item.body,
        group=item.group or item.id,
        tokens=item.tokens,
        length_hint=parse_count(hint) or 0,
        reward=None
        if scorer is None
        else RewardSpec(
            request_id=scorer.id,
            host=scorer.host,
            path=scorer.path,
            body=scorer.body,
        ),
    )


class _EventReader(EventReader):
    """Parses `text/event-stream` with lines that state the weight version.

    A version applies to its event and all later ones.

    Args:
        version: Weight version of the events before the first such line.
    """

    def __init__(self, version: int):
        self._version = version
        self._buffer = b""
        self._held_back = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of a further event was received."""
        return not (self._buffer + self._held_back).strip()

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Returns the events that are complete now; see `EventReader.feed`."""
        data = self._held_back + chunk
        # The line feed of a CRLF may come with the next chunk.
        self._held_back = data[-1:] if data.endswith(b"\r") else b""
        data = data.removesuffix(b"\r")
        self._buffer += data.replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return [self._parse_event(block) for block in blocks if block.strip()]

    def _parse_event(self, block: bytes) -> StreamEvent:
        number = None
        data = []
        for line in block.split(b"\n"):
            if line.startswith(_VERSION_PREFIX):
                self._version = int(line[len(_VERSION_PREFIX) :])
            elif line.startswith(_ID_PREFIX):
                number = int(line[len(_ID_PREFIX) :])
            elif line.startswith(_DATA_PREFIX):
                data.append(line[len(_DATA_PREFIX) :].removeprefix(b" "))
        if number is None:
            raise ValueError(f"an event without an id line: {block[:80]!r}")
        return StreamEvent(number, b"\n".join(data).decode(), self._version)
