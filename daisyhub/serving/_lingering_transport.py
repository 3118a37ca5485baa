"""A transport that closes a connection without destroying the last response.

Closing a socket with unread bytes resets the connection, and the reset may
overtake a response that the client hasn't read. A client that still sends must
therefore be read for a while after its response.
"""

import asyncio

__all__ = ["LingeringTransport"]

# Seconds for which what a client sends is read and dropped after the last
# response, and for which it may take to receive that response.
_LINGER_S = 2.0
_FLUSH_TIMEOUT_S = 30.0


class LingeringTransport(asyncio.Transport):
    """Wraps the transport of one connection.

    Args:
        inner: The transport.

    Attributes:
        must_linger: Whether the client may still send when the connection is
            closed.
    """

    def __init__(self, inner: asyncio.Transport):
        super().__init__()
        self._inner = inner
        self._closing: asyncio.TimerHandle | None = None
        self._hold: asyncio.TimerHandle | None = None
        self._is_paused = False
        self.must_linger = False
        self.write = inner.write
        self.get_extra_info = inner.get_extra_info
        self.get_write_buffer_size = inner.get_write_buffer_size

    def pause_reading(self) -> None:
        """Pauses reading; see `asyncio.ReadTransport`."""
        self._is_paused = True
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading, once it isn't held; see `asyncio.ReadTransport`."""
        self._is_paused = False
        if self._hold is None:
            self._inner.resume_reading()

    def hold_reading(self, delay_s: float) -> None:
        """Pauses reading for some seconds, even if it is resumed meanwhile."""
        if not delay_s or self._hold is not None or self.is_closing():
            return
        loop = asyncio.get_running_loop()
        self._hold = loop.call_later(delay_s, self._end_hold)
        self._inner.pause_reading()

    def _end_hold(self) -> None:
        self._hold = None
        if not self._is_paused:
            self._inner.resume_reading()

    def is_closing(self) -> bool:
        """Whether nothing is written any more."""
        return self._closing is not None or self._inner.is_closing()

    def close(self) -> None:
        """Closes the connection once the client has received everything.

        A client that doesn't receive it in time is disconnected.
        """
        if self.is_closing():
            return
        loop = asyncio.get_running_loop()
        if not self.must_linger:
            self._inner.close()
            if not self._inner.get_write_buffer_size():
                return
            self._closing = loop.call_later(_FLUSH_TIMEOUT_S, self.abort)
            return
        self._closing = loop.call_later(_LINGER_S, self._end_linger)
        self._cancel_hold()
        self._inner.write_eof()
        self._inner.resume_reading()

    def _end_linger(self) -> None:
        loop = asyncio.get_running_loop()
        self._closing = loop.call_later(_FLUSH_TIMEOUT_S, self.abort)
        self._inner.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.cancel_timer()
        self._inner.abort()

    def cancel_timer(self) -> None:
        """Ends waiting; called once the connection is lost."""
        self._cancel_hold()
        if self._closing is not None:
            self._closing.cancel()

    def _cancel_hold(self) -> None:
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
