"""Tells when a stream that passes through has ended."""

from collections.abc import AsyncIterator, Callable

__all__ = ["StreamEnd"]


class StreamEnd(AsyncIterator[bytes]):
    """Passes a stream on and calls back once at its end.

    Args:
        stream: The chunks; an asynchronous generator.
        on_end: Called with whether the stream came to its end.
    """

    def __init__(self, stream, on_end: Callable[[bool], None]):
        self._stream = stream
        self._on_end = on_end
        self._is_ended = False

    def __aiter__(self) -> "StreamEnd":
        return self

    async def __anext__(self) -> bytes:
        try:
            return await anext(self._stream)
        except StopAsyncIteration:
            self._end(True)
            raise

    async def aclose(self) -> None:
        """Closes the stream, whether it has started or not."""
        try:
            await self._stream.aclose()
        finally:
            self._end(False)

    def _end(self, is_whole: bool) -> None:
        if not self._is_ended:
            self._is_ended = True
            self._on_end(is_whole)
