"""The HTTP/1.1 protocol of a connection, within the limits of its listener.

A connection whose head doesn't arrive in time is closed without a response:
408 and 503 would promise that a request has not run, and an unfinished head may
be that of a lot that was submitted before.

uvicorn's protocol keeps whatever a client sends until a request's head is
complete, and parses pipelined requests as they arrive. This one counts what
isn't part of a body, bounds the time until a head is complete, and parses the
next request only after the response to the one before.
"""

import asyncio

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.memory import MemoryLease
from daisyhub.serving._chunk_pacer import ChunkPacer
from daisyhub.serving._connection_table import (
    ConnectionTable,
    EvictableConnection,
)
from daisyhub.serving._head_claim import HeadClaim
from daisyhub.serving._last_response import encode_last_response
from daisyhub.serving._limits import ListenerLimits
from daisyhub.serving._lingering_transport import LingeringTransport
from daisyhub.serving._timer import Timer

__all__ = ["CONNECTION", "LEASE", "BoundedProtocol"]

# Key of the connection in the ASGI scope of a request.
CONNECTION = "daisyhub.connection"
# Key of the lease of a response's body, or None, in the ASGI message with it.
LEASE = "daisyhub.lease"

_HEAD_END = b"\r\n\r\n"
_EMPTY_LINES = b"\r\n"
# A chunked body is passed to the parser in parts that end where the body may
# end, and are no shorter than this, in bytes.
_MIN_CHUNKED_PART = 512
# Bytes of framing that each byte of a chunked body makes up for: more than
# those of a chunk of one byte.
_FRAMING_PER_BODY_BYTE = 8
# Size of a read of a head, and of one while a response is due, after which
# reading pauses until then, in bytes.
_READ_BYTES = 1 << 14
_READ_AHEAD_BYTES = 1 << 12
# Unsent bytes above which the application waits.
_WRITE_BUFFER_BYTES = 1 << 14
# Time in which a client must have received what fills the write buffer, in
# seconds.
_WRITE_TIMEOUT_S = 60.0


class BoundedProtocol(
    HttpToolsProtocol, asyncio.BufferedProtocol, EvictableConnection
):
    """Serves one connection.

    Args:
        limits: Limits of the listener.
        table: Connections of the listener.
        buffer: Receives what is read; shared by all connections, as it is
            processed at once.
        *args: Arguments of uvicorn's protocol.
        **kwargs: The same.
    """

    def __init__(
        self,
        limits: ListenerLimits,
        table: ConnectionTable,
        buffer: bytearray,
        *args,
        **kwargs,
    ):
        super().__init__(*args, **kwargs)
        self._limits = limits
        self._table = table
        self._buffer = memoryview(buffer)
        self._claim = limits.memory.open(self._on_no_room)
        self._head_claim = HeadClaim(self._claim)
        # Bytes since the last progress that aren't part of a body.
        self._framing = 0
        # Whether a part of a head was received, and whether a body is due.
        self._has_begun = False
        self._is_in_body = False
        # Bytes that the current body still has; None if it is chunked.
        self._body_left: int | None = 0
        self._pacer = ChunkPacer()
        self._read_ahead = bytearray()
        # Whether all further bytes are dropped.
        self._is_discarding = False
        self._timer = Timer(self._on_timeout)
        self._is_head_timed = False
        self._write_timer = Timer(self._on_write_timeout)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the time within which a client must send something."""
        transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        super().connection_made(LingeringTransport(transport))
        self._set_timer(self._limits.get_limits().idle_timeout_s)
        self._table.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Returns what the connection holds."""
        self._stop_reading()
        self.resume_writing()
        self._unset_keepalive_if_required()
        self.transport.cancel_timer()
        self._table.remove(self)
        self._claim.release()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the shared buffer; see `asyncio.BufferedProtocol`.

        Only bodies are read in large parts, as what follows a request is kept
        until its response.
        """
        if self._is_in_body and self._pacer.has_small_chunks:
            return self._buffer[:_READ_AHEAD_BYTES]
        if self._is_in_body and self._body_left is None:
            return self._buffer[:_READ_BYTES]
        if self._is_in_body:
            return self._buffer
        is_due = self._is_responding
        return self._buffer[: _READ_AHEAD_BYTES if is_due else _READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Processes received bytes; see `asyncio.BufferedProtocol`."""
        if self._is_discarding:
            return
        self._pacer.begin_read()
        self.data_received(bytes(self._buffer[:nbytes]))
        self.transport.hold_reading(self._pacer.end_read())

    def eof_received(self) -> None:
        """Closes the connection, as the client does."""
        self.transport.must_linger = False
        self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes unless a response has to be sent before."""
        self._unset_keepalive_if_required()
        if self._is_responding:
            self._keep_for_later(data)
        else:
            self._parse_all(data)

    @property
    def _is_responding(self) -> bool:
        """Whether a request is complete, and its response isn't."""
        cycle = self.cycle
        return (
            cycle is not None
            and not self._is_in_body
            and not cycle.response_complete
        )

    def _keep_for_later(self, data: bytes) -> None:
        self._read_ahead += data
        self.transport.must_linger = True
        if len(self._read_ahead) > _READ_AHEAD_BYTES:
            self.transport.pause_reading()

    def _parse_all(self, data: bytes) -> None:
        """Parses bytes up to the end of a request."""
        limit = self._limits.get_limits().framing_bytes
        while data:
            if not self._has_begun and not self._is_in_body:
                request = data.lstrip(_EMPTY_LINES)
                self._framing += len(data) - len(request)
                data = request
            part = data[: self._find_part_end(data)]
            data = data[len(part) :]
            self._framing += len(part)
            # A chunked body makes up for its framing while it is parsed.
            if self._is_in_body or self._framing <= limit:
                self._parse(part)
            if self._has_begun and not self._is_in_body:
                self._head_claim.update(self._framing, len(self.headers))
            if self._is_discarding:
                return
            if self._framing > limit:
                self._refuse(
                    ErrorCode.HEADERS_TOO_LARGE,
                    f"head, trailers or chunk framing exceed {limit} bytes",
                )
                return
            if data and self._is_responding:
                self._keep_for_later(data)
                return
        self._update_timer()

    def _find_part_end(self, data: bytes) -> int:
        """Returns up to where bytes belong to the current request."""
        if self._is_in_body and self._body_left is not None:
            return self._body_left
        start = _MIN_CHUNKED_PART if self._is_in_body else 0
        end = data.find(_HEAD_END, start)
        return len(data) if end < 0 else end + len(_HEAD_END)

    def _parse(self, part: bytes) -> None:
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # Upgrades are ignored; the part ends with the request's head.
            return
        except httptools.HttpParserError:
            self._refuse(
                ErrorCode.HEADER_INVALID, "the request isn't valid HTTP/1.1"
            )

    def on_message_begin(self) -> None:
        """Starts a head."""
        self._has_begun = True
        self._body_left = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; drops trailers, which aren't forwarded."""
        if self._is_in_body or self._is_discarding:
            return
        super().on_header(name, value)
        name = self.headers[-1][0]
        if name == b"content-length":
            self._body_left = int(value)
        elif name == b"transfer-encoding":
            self._body_left = None

    def on_headers_complete(self) -> None:
        """Starts serving the request."""
        self._head_claim.update(self._framing, len(self.headers))
        self._head_claim.end()
        self._framing = 0
        self._is_in_body = True
        self._pacer.begin_body()
        if self._is_discarding:
            return
        self._cancel_timer()
        self._table.set_busy(self)
        self._claim.pin()
        super().on_headers_complete()
        self.scope[CONNECTION] = self

    def on_body(self, body: bytes) -> None:
        """Passes a part of the body to the application."""
        if self._is_discarding:
            return
        if self._body_left is None:
            self._pacer.add_chunk(len(body))
            credit = (1 + _FRAMING_PER_BODY_BYTE) * len(body)
            self._framing = max(0, self._framing - credit)
        else:
            self._body_left -= len(body)
            self._framing = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request."""
        self._framing = 0
        self._is_in_body = False
        self._has_begun = False
        if not self._is_discarding:
            super().on_message_complete()

    def begin_response(self) -> None:
        """Closes after a response that begins before its request has ended.

        What follows can't be told from another request.
        """
        if self._is_in_body:
            self.transport.must_linger = True
            self.cycle.keep_alive = False

    def hold_response(self, size: int, lease: MemoryLease | None) -> None:
        """Counts a large response until its client has received it.

        Args:
            size: Its size.
            lease: What has counted it until now; None for nothing.
        """
        self._claim.release()
        if lease is None:
            self._claim.add(size)
        else:
            lease.move_to(self._claim)

    def on_part_sent(self) -> None:
        """Records that the client has received a part of its response."""
        self._claim.touch()

    def on_response_complete(self) -> None:
        """Goes on with what was read while the response was sent."""
        self._claim.release()
        self.timeout_keep_alive = self._limits.get_limits().idle_timeout_s
        super().on_response_complete()
        if self.transport.is_closing():
            self._stop_reading()
            return
        self._table.set_idle(self)
        if self._read_ahead:
            self._unset_keepalive_if_required()
            self.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        """Parses what was read ahead."""
        if self._is_discarding or self._is_responding:
            return
        data = bytes(self._read_ahead)
        self._read_ahead.clear()
        self.transport.must_linger = False
        self.transport.resume_reading()
        self._parse_all(data)

    def evict(self) -> None:
        """Makes room for another connection."""
        self._stop_reading()
        self._limits.on_refused("connections")
        self.transport.abort()

    def pause_writing(self) -> None:
        """Bounds the time in which a client must read."""
        super().pause_writing()
        self._write_timer.start(_WRITE_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Ends the time in which a client must read."""
        self._write_timer.cancel()
        super().resume_writing()

    def _on_write_timeout(self) -> None:
        self._limits.on_refused("unread_response")
        self.transport.abort()

    def _update_timer(self) -> None:
        """Bounds the time until a head is complete."""
        has_part = not self._is_in_body and (self._has_begun or self._framing)
        if not has_part:
            self._cancel_timer()
        elif not self._is_head_timed:
            self._set_timer(self._limits.get_limits().head_timeout_s)
            self._is_head_timed = True

    def _set_timer(self, delay_s: float) -> None:
        self._is_head_timed = False
        self._timer.start(delay_s)

    def _cancel_timer(self) -> None:
        self._is_head_timed = False
        self._timer.cancel()

    def _on_timeout(self) -> None:
        if self._is_head_timed:
            self._limits.on_refused("head_timeout")
        self._stop_reading()
        self.transport.close()

    def _on_no_room(self) -> None:
        reason = (
            "unread_response" if self._is_responding else "no_room_for_head"
        )
        self._limits.on_refused(reason)
        self._stop_reading()
        self.transport.abort()

    def _stop_reading(self) -> None:
        """Drops what was received and what still comes."""
        self._is_discarding = True
        self._read_ahead.clear()
        self._cancel_timer()

    def _refuse(self, error: ErrorCode, detail: str) -> None:
        """Ends the connection, with a response if one is due."""
        self._stop_reading()
        self._limits.on_refused(error.label)
        self.transport.must_linger = True
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if cycle.response_started or not self._is_in_body:
                cycle.keep_alive = False
                return
            # Ends the application's wait for the rest of the body.
            cycle.disconnected = True
            cycle.message_event.set()
        refusal = Refusal(error, detail, ran=ExecutionStatus.NOT_RUN)
        self.transport.write(encode_last_response(refusal))
        self.transport.close()
