"""A response stream that reports its end."""

from collections.abc import AsyncIterator, Callable

__all__ = ["ObservedStream"]


class ObservedStream(AsyncIterator[bytes]):
    """Yields the chunks of a stream and calls back once when it ends.

    Args:
        stream: An asynchronous iterator of chunks that has `aclose`.
        on_end: Called with True once the stream has been read to its end, or
            with False once it is closed before that, also after a failed read.
    """

    def __init__(self, stream, on_end: Callable[[bool], None]):
        self._stream = stream
        self._on_end = on_end
        self._has_ended = False

    def __aiter__(self) -> "ObservedStream":
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._stream)
        except StopAsyncIteration:
            self._notify_end(True)
            raise

    async def aclose(self) -> None:
        """Closes the stream, even if it was never read."""
        try:
            await self._stream.aclose()
        finally:
            self._notify_end(False)

    def _notify_end(self, is_complete: bool) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_end(is_complete)
