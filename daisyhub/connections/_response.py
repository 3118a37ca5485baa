"""Responses of the HTTP client, complete or read in chunks.

A streamed response decides what becomes of its connection: after a complete
body it returns to the pool, otherwise it is closed.
"""

import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator

import anyio

from daisyhub.connections._body_parts import read_parts
from daisyhub.connections._connection import RequestFailedError, mapped_errors
from daisyhub.connections._exchange import lower_names
from daisyhub.memory import MemoryLease
from daisyhub.messages import Header

__all__ = ["HttpResponse", "ResponseStream", "StreamedResponse", "Timing"]

# Bytes and seconds for a body that is discarded. Endpoints reject requests with
# a few bytes; more costs more than a new connection.
_MAX_DRAINED_BYTES = 65_536
_MAX_DRAIN_S = 0.5
# Seconds between reports that a server still sends.
_REPORT_INTERVAL_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpResponse:
    """A complete response, its body included.

    Attributes:
        status: HTTP status.
        headers: Header fields, with names in lower case.
        body: The body.
        lease: Counts a large body while it is referred to.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    lease: MemoryLease | None = None


class StreamedResponse:
    """A response whose body is read in chunks.

    Attributes:
        status: HTTP status.
        headers: Header fields, with names in lower case.
    """

    def __init__(self, *, client, conn, address, response, timing):
        self.status: int = response.status
        self.headers: tuple[Header, ...] = lower_names(response.headers)
        self._client = client
        self._conn = conn
        self._address = address
        self._response = response
        self._timing = timing
        self._reported_at_s = time.monotonic()
        self._has_failed = False
        self._is_closed = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; returns only after a complete body.

        Raises:
            RequestFailedError: The body was truncated or timed out.
        """
        parts = aiter(read_parts(self._conn))
        while True:
            chunk = None
            try:
                with mapped_errors(
                    self._address,
                    lambda: self._conn.ran,
                    self._timing.deadline_s,
                ):
                    chunk = await anext(parts, None)
            except RequestFailedError:
                self._has_failed = True
                raise
            if chunk is None:
                # After `aclose`, httpcore's connection is idle, or closed if
                # the server ends it. `end_exchange` comes first, so that this
                # close isn't a reset.
                self._conn.end_exchange()
                await self._response.aclose()
                return
            self._report_answer()
            yield chunk

    def _report_answer(self) -> None:
        now_s = time.monotonic()
        if now_s - self._reported_at_s >= _REPORT_INTERVAL_S:
            self._reported_at_s = now_s
            self._client.report_answer(self._address)

    async def aclose(self) -> None:
        """Releases the connection after a complete body, else closes it.

        A reader that stops early doesn't make other connections suspect.
        Further calls do nothing.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if not self._has_failed and not self._conn.http.is_idle():
            await self._conn.aclose()
            return
        await self._client.release(
            self._address, self._conn, self._timing.started_s
        )

    async def drain(self) -> None:
        """Reads and discards a short body, so that the connection is reused.

        The connection is closed if the body is long or late, or fails.
        """
        size = 0
        with (
            contextlib.suppress(RequestFailedError),
            anyio.move_on_after(_MAX_DRAIN_S),
        ):
            async for chunk in self.chunks():
                size += len(chunk)
                if size > _MAX_DRAINED_BYTES:
                    break
        await self.aclose()


class ResponseStream(AsyncIterator[bytes]):
    """Iterates over the body of a response.

    Unlike `aclose` of a generator, `aclose` of this class also closes the
    response if it is called before the first chunk.

    Args:
        response: The response to read.
    """

    def __init__(self, response: StreamedResponse):
        self._response = response
        self._chunks = response.chunks()

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """Closes the response."""
        await self._chunks.aclose()
        await self._response.aclose()


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Start and deadline of an exchange.

    Attributes:
        started_s: Monotonic time of the start.
        deadline_s: Deadline on anyio's clock.
    """

    started_s: float
    deadline_s: float
