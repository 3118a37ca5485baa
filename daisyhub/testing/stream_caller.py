"""A caller of streams that goes on where a broken response ended."""

import contextlib
import dataclasses
import itertools

from daisyhub.connections import RequestFailedError
from daisyhub.testing.fleet import KEY, Fleet

__all__ = ["StreamCaller"]

_OK = 200


@dataclasses.dataclass
class StreamCaller:
    """One stream of events over several requests.

    Attributes:
        fleet: The daemons.
        name: Name of the stream, which its events begin with.
        events: Data of the events received so far, in order.
        statuses: Status of each response; None without one.
        first_request_id: Id of the request that brought the first event.
    """

    fleet: Fleet
    name: str
    events: list[str] = dataclasses.field(default_factory=list)
    statuses: list[int | None] = dataclasses.field(default_factory=list)
    first_request_id: str = ""

    def next_request(self) -> tuple[str, str]:
        """Returns the id and the path of the next request."""
        return f"{self.name}/{len(self.statuses)}", f"/chat/{self.name}"

    @property
    def software(self) -> set[str]:
        """The software versions that the events received so far name."""
        return {event.partition("@")[2] or "v1" for event in self.events}

    async def read(self, daemon: str, max_events: int = 1000) -> bool:
        """Sends one request and reads its events.

        Args:
            daemon: The daemon to call.
            max_events: Number of events after which the connection is closed.

        Returns:
            Whether the stream ended.

        Raises:
            AssertionError: An event is missing or came twice.
        """
        request_id, path = self.next_request()
        headers = [
            (b"host", b"a.example"),
            (b"api-key", KEY.encode()),
            (b"daisyhub-request-id", request_id.encode()),
            (b"daisyhub-deadline-ms", b"8000"),
        ]
        if self.events:
            headers += [
                (b"last-event-id", str(len(self.events)).encode()),
                (b"resumes", self.first_request_id.encode()),
            ]
        self.statuses.append(None)
        with contextlib.suppress(RequestFailedError):
            response = await self.fleet.http.open(
                "POST",
                self.fleet.address(f"{daemon}/front"),
                path,
                headers=tuple(headers),
                timeout_s=8.0,
                fresh=True,
            )
            self.statuses[-1] = response.status
            try:
                if response.status != _OK:
                    return False
                return await self._read_events(
                    response.chunks(), request_id, max_events
                )
            finally:
                await response.aclose()
        return False

    async def _read_events(
        self, chunks, request_id: str, max_events: int
    ) -> bool:
        """Reads events; returns whether the stream ended."""
        buffered = b""
        numbers = itertools.count(len(self.events) + 1)
        left = max_events
        async for chunk in chunks:
            *whole, buffered = (buffered + chunk).split(b"\n\n")
            for event in whole:
                number, _, data = event.decode().partition("\n")
                if number != f"id: {next(numbers)}":
                    raise AssertionError(f"{self.name}: unexpected {number}")
                self.events.append(data.removeprefix("data: "))
                self.first_request_id = self.first_request_id or request_id
                left -= 1
            if left <= 0:
                return False
        return True
