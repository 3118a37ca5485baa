"""Reads the bodies of requests within the memory of the process."""

import math
import time
from collections.abc import Awaitable, Callable

import anyio

from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.memory import MemoryBudget, MemoryClaim
from daisyhub.messages import Header

__all__ = ["RequestBody"]

# Sent as `Retry-After` if there is no room for a body. Other daemons may have
# room at once, and this one once a client without progress is evicted.
_RETRY_AFTER_S = 0.5

# Headers without which a request has no body.
_BODY_HEADERS = (b"content-length", b"transfer-encoding")
# Size from which on pieces of a body are put together, in bytes.
_BLOCK_BYTES = 1 << 16

Receive = Callable[[], Awaitable[dict]]


class RequestBody:
    """The body of one request.

    Holds a claim from the first byte on until `release`, since the request
    may be sent repeatedly until it is answered.

    Args:
        headers: The request's headers, names in lower case.
        receive: ASGI's `receive`.
        budget: Memory of all bodies.

    Attributes:
        was_read: Set once the complete body was read.
        deadline_s: When reading ends unless `read` is told otherwise,
            monotonic seconds.
    """

    def __init__(
        self,
        headers: tuple[Header, ...],
        receive: Receive,
        budget: MemoryBudget,
    ):
        self._headers = headers
        self._receive = receive
        self._budget = budget
        self._claim: MemoryClaim | None = None
        self.was_read = anyio.Event()
        self.deadline_s = math.inf

    async def read(
        self,
        max_bytes: int,
        *,
        copies: int = 1,
        deadline_s: float | None = None,
        weigh: Callable[[bytes], int] | None = None,
    ) -> bytes:
        """Returns the complete body.

        Args:
            max_bytes: Maximum size.
            copies: How many times the process holds the body until it answers
                the request.
            deadline_s: When to stop reading, monotonic seconds.
            weigh: Returns how many bytes more it takes to process a body.

        Raises:
            Refusal: The body is larger than `max_bytes` or than may ever be
                processed, is incomplete, didn't arrive in time, or there is no
                room for it.
        """
        if not self._is_announced():
            await self._receive()
            self.was_read.set()
            return b""
        self._check_length(max_bytes, copies)
        if deadline_s is None:
            deadline_s = self.deadline_s
        body = None
        with anyio.move_on_after(deadline_s - time.monotonic()) as scope:
            self._claim = self._budget.open(scope.cancel)
            body = await self._collect(max_bytes, copies)
        if body is not None:
            self._claim.pin()
            self.was_read.set()
            if weigh is not None:
                self._add_weight(weigh(body))
            return body
        if self._claim.is_evicted:
            raise _make_no_room_refusal()
        raise Refusal(
            ErrorCode.REQUEST_TIMEOUT,
            "the body didn't arrive in the time that the request has",
            ran=ExecutionStatus.NOT_RUN,
        )

    def release(self) -> None:
        """Returns the memory, once the request is answered."""
        if self._claim is not None:
            self._claim.release()

    def _is_announced(self) -> bool:
        """Whether the request has a body, which may be empty."""
        return any(name in _BODY_HEADERS for name, _ in self._headers)

    def _check_length(self, max_bytes: int, copies: int) -> None:
        """Refuses a body that states a length for which there is no room."""
        for name, value in self._headers:
            if name != b"content-length":
                continue
            if int(value) > max_bytes:
                raise _make_too_large_refusal(max_bytes)
            if not self._budget.has_room_for(int(value) * copies):
                raise _make_no_room_refusal()

    def _add_weight(self, size: int) -> None:
        """Counts what it takes to process a complete body."""
        limit = self._budget.large_limit
        if size > limit:
            raise Refusal(
                ErrorCode.BODY_TOO_LARGE,
                f"decoding the body takes {size} bytes, more than the {limit}"
                " that this daemon has for it",
                ran=ExecutionStatus.NOT_RUN,
            )
        if not self._claim.grow(size):
            raise _make_no_room_refusal()

    async def _collect(self, max_bytes: int, copies: int) -> bytes:
        # Pieces may be tiny, and each would cost a multiple of its size. One
        # growing buffer for each body would leave holes of all sizes behind.
        blocks: list[bytes] = []
        block = bytearray()
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise Refusal(
                    ErrorCode.BODY_INVALID,
                    "the body is incomplete",
                    ran=ExecutionStatus.NOT_RUN,
                )
            piece = message.get("body", b"")
            is_last = not message.get("more_body", False)
            size += len(piece)
            if size > max_bytes:
                raise _make_too_large_refusal(max_bytes)
            self._claim.add(len(piece), copies)
            # The scope's cancellation is late if there is always a next piece.
            if self._claim.is_evicted:
                raise _make_no_room_refusal()
            if is_last and size == len(piece):
                return piece
            block += piece
            if is_last or len(block) >= _BLOCK_BYTES:
                blocks.append(bytes(block))
                block.clear()
            if is_last:
                return b"".join(blocks)


def _make_too_large_refusal(max_bytes: int) -> Refusal:
    return Refusal(
        ErrorCode.BODY_TOO_LARGE,
        f"the body exceeds {max_bytes} bytes",
        ran=ExecutionStatus.NOT_RUN,
    )


def _make_no_room_refusal() -> Refusal:
    return Refusal(
        ErrorCode.OVERLOADED,
        "there is no room for the body, as other large ones are being served",
        ran=ExecutionStatus.NOT_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )
