"""Cases of clients that ignore the limits, for the tests of both daemons.

Each crowd stays connected while the case checks that the daemon lives, that it
keeps within its memory, and that it answers an ordinary request. Nothing here
depends on how fast that is; the waits only end what would hang.
"""

import abc
import dataclasses
import itertools
import os
import pathlib
import re
import resource
import signal
import struct
import unittest

import anyio

from daisyhub.settings import Address
from daisyhub.testing.crowd import Crowd

MEMORY_MB = 128
HEADER_BYTES = 4096
BODY_BYTES = 4 << 20
HEAD_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 3.0
# Time after which a daemon closes its idle connections to endpoints.
CONNECTION_IDLE_S = 2.0
# Sockets that a daemon may open; for a crowd of idle clients.
SOCKETS = 200
# Descriptors above those at rest that a daemon may hold once it has closed the
# connections of a crowd: its connections to endpoints, peers and the platform.
_MORE_DESCRIPTORS = 15
_SENDERS = 40
_BODIES = 60
_IDLE = 260
_PIPELINES = 10
# Answers after which such a crowd ends; it would get all of them.
_PIPELINED_ANSWERS = 2000
# What a client sends that never ends, in bytes.
_ENDLESS_BYTES = 8 << 20
_PIECE_BYTES = 1 << 14
_SMALL_PIECE_BYTES = 997
CHUNK_BYTES = 1 << 16
_WAIT_TIMEOUT_S = 25.0
_STOP_TIMEOUT_S = 60.0
_PEAK = re.compile(r"VmHWM:\s+(\d+) kB")
_BYTES_PER_KB = 1024
_CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Reads memory and descriptors of a process.

    Attributes:
        pid: Its process id.
    """

    pid: int

    def peak_bytes(self) -> int:
        """Returns the largest resident memory so far."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text("ascii")
        return int(_PEAK.search(status)[1]) * _BYTES_PER_KB

    def descriptors(self) -> int:
        """Returns the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))


def _endless(first: bytes, piece: bytes):
    """Yields a beginning, then a piece up to `_ENDLESS_BYTES`."""
    yield first
    block = piece * max(1, _PIECE_BYTES // len(piece))
    for _ in range(_ENDLESS_BYTES // len(block)):
        yield block


def split(data: bytes, size: int):
    """Yields data in parts of a size."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def limit_sockets(pid: int) -> None:
    """Limits the descriptors of a process as its machine does."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))


class CrowdCases(unittest.IsolatedAsyncioTestCase, abc.ABC):
    """Cases of one daemon.

    Attributes:
        pid: The daemon's process.
        listener: Where the crowd connects.
        operators_listener: Listener for operators.
        peers_listener: Listener for other daemons.
        key: The API key of the crowd.
    """

    pid: int
    listener: Address
    operators_listener: Address
    peers_listener: Address
    key: bytes

    @abc.abstractmethod
    async def start(self) -> None:
        """Starts the daemon, with the limits above."""

    @abc.abstractmethod
    def is_alive(self) -> bool:
        """Whether the daemon's process still runs."""

    @abc.abstractmethod
    async def ask(self, body: bytes = b"") -> int:
        """Sends an ordinary request, with a body; returns the status."""

    @abc.abstractmethod
    def head(self, *, has_body: bool = True) -> bytes:
        """Returns the head of a valid request without the empty line.

        With a body, its length or coding must follow.
        """

    async def asyncSetUp(self):
        await self.start()
        self.usage = ProcessUsage(self.pid)
        self.assertEqual(await self.ask(), 200)
        self.at_rest = self.usage.descriptors()

    async def crowd(
        self, make_pieces, size=_SENDERS, *, listener=None, **options
    ):
        """Lets a crowd send, which stays connected until the test ends."""
        crowd = Crowd(listener or self.listener, size, **options)
        self.addAsyncCleanup(crowd.close)
        await crowd.send(make_pieces, self.is_within_memory)
        return crowd

    def is_within_memory(self):
        return self.is_alive() and (
            self.usage.peak_bytes() <= MEMORY_MB * 1_000_000
        )

    def check_memory(self):
        """Checks that the daemon lives and keeps within its memory."""
        self.assertTrue(self.is_alive())
        self.assertLessEqual(self.usage.peak_bytes(), MEMORY_MB * 1_000_000)

    async def check(self):
        """Checks the daemon's memory, and that it answers."""
        self.check_memory()
        self.assertEqual(await self.ask(), 200)

    async def check_closed(self):
        """Checks that the daemon closes the crowd's connections, too."""
        self.check_memory()
        most = self.at_rest + _MORE_DESCRIPTORS
        with anyio.move_on_after(_WAIT_TIMEOUT_S):
            while self.usage.descriptors() > most:
                await anyio.sleep(0.05)
        self.assertLessEqual(self.usage.descriptors(), most)
        await self.check()

    async def check_endless(self, first: bytes, piece: bytes, **options):
        """Checks a crowd that sends one piece over and over."""
        await self.crowd(lambda _: _endless(first, piece), **options)
        await self.check_closed()

    async def check_bodies(self, make_pieces, **options):
        """Checks a crowd of large bodies, and then a single one."""
        crowd = await self.crowd(make_pieces, _BODIES, **options)
        await self.check()
        await crowd.close()
        await self.check_closed()
        self.assertEqual(await self.ask(b"a" * BODY_BYTES), 200)
        await self.check()

    async def check_idle(self, listener: Address):
        """Checks a crowd that connects and sends nothing."""
        limit_sockets(self.pid)
        await self.crowd(lambda _: iter(()), _IDLE, listener=listener)
        await self.check()
        self.assertLess(self.usage.descriptors(), SOCKETS)

    async def check_stop(self):
        """Checks that the daemon ends when it is told to."""
        self.check_memory()
        os.kill(self.pid, signal.SIGTERM)
        with anyio.move_on_after(_STOP_TIMEOUT_S):
            while self.is_alive():
                await anyio.sleep(0.05)
        self.assertFalse(self.is_alive())

    def body_head(self) -> bytes:
        return self.head() + b"Content-Length: %d\r\n\r\n" % BODY_BYTES


class CrowdTests(CrowdCases):
    """The cases that hold for both daemons."""

    async def test_heads_over_the_limit(self):
        whole = self.head() + b"X: " + b"a" * _ENDLESS_BYTES + b"\r\n\r\n"
        await self.crowd(lambda _: split(whole, _PIECE_BYTES))
        await self.check_closed()

    async def test_header_value_without_end(self):
        await self.check_endless(self.head() + b"X: ", b"a")

    async def test_header_name_without_end(self):
        await self.check_endless(self.head(), b"a")

    async def test_headers_without_end(self):
        await self.check_endless(self.head(), b"X-A: b\r\n")

    async def test_shortest_headers_without_end(self):
        await self.check_endless(self.head(), b"a:\r\n")

    async def test_request_target_without_end(self):
        await self.check_endless(b"GET /records/", b"a")

    async def test_query_without_end(self):
        await self.check_endless(b"GET /records/1?", b"a")

    async def test_empty_lines_without_end(self):
        await self.check_endless(b"", b"\r\n")

    async def test_bare_line_feeds_without_end(self):
        await self.check_endless(b"", b"\n")

    async def test_trailers_without_end(self):
        first = self.head() + _CHUNKED + b"\r\n" + _chunk(b"x") + b"0\r\n"
        await self.check_endless(first, b"X-A: b\r\n")

    async def test_trailer_without_end(self):
        first = self.head() + _CHUNKED + b"\r\n" + _chunk(b"x") + b"0\r\nX: "
        await self.check_endless(first, b"a")

    async def test_chunk_extension_without_end(self):
        first = self.head() + _CHUNKED + b"\r\n1;"
        await self.check_endless(first, b"a")

    async def test_chunk_size_without_end(self):
        first = self.head() + _CHUNKED + b"\r\n"
        await self.check_endless(first, b"0")

    async def test_large_bodies(self):
        whole = self.body_head() + b"a" * BODY_BYTES
        await self.check_bodies(lambda _: split(whole, CHUNK_BYTES))

    async def test_large_bodies_that_stop_short_of_their_end(self):
        short = self.body_head() + b"a" * (BODY_BYTES - 1)
        await self.check_bodies(lambda _: split(short, CHUNK_BYTES))

    async def test_large_bodies_in_pieces_that_stop_short_of_their_end(self):
        short = self.body_head() + b"a" * (BODY_BYTES - 1)
        await self.check_bodies(lambda _: split(short, _SMALL_PIECE_BYTES))

    async def test_large_bodies_in_chunks_that_stop_short_of_their_end(self):
        chunk = _chunk(b"a" * CHUNK_BYTES)
        count = BODY_BYTES // CHUNK_BYTES - 1
        head = self.head() + _CHUNKED + b"\r\n"
        await self.check_bodies(
            lambda _: itertools.chain([head], itertools.repeat(chunk, count))
        )

    async def test_large_bodies_in_small_chunks_that_stop_short(self):
        chunk = _chunk(b"a" * _SMALL_PIECE_BYTES)
        count = BODY_BYTES // _SMALL_PIECE_BYTES - 1
        head = self.head() + _CHUNKED + b"\r\n"
        await self.check_bodies(
            lambda _: itertools.chain([head], itertools.repeat(chunk, count))
        )

    async def test_pipelined_requests_without_end(self):
        get = self.head(has_body=False) + b"\r\n"
        crowd = Crowd(self.listener, _PIPELINES)
        self.addAsyncCleanup(crowd.close)

        def may_go_on():
            answers = sum(data.count(b" 200 ") for data in crowd.received)
            return answers < _PIPELINED_ANSWERS and self.is_within_memory()

        await crowd.send(lambda _: _endless(b"", get), may_go_on)
        await self.check()

    async def test_pipelined_requests_whose_answers_stay_unread(self):
        get = self.head(has_body=False) + b"\r\n"
        await self.crowd(lambda _: _endless(b"", get), _PIPELINES, reads=False)
        await self.check()

    async def test_large_bodies_with_an_unknown_key(self):
        head = self.body_head().replace(self.key[-8:], b"00000000")
        whole = head + b"a" * BODY_BYTES
        await self.check_bodies(lambda _: split(whole, CHUNK_BYTES))

    async def test_large_bodies_without_a_route(self):
        head = self.body_head().replace(b"/records/1", b"/nowhere/1")
        whole = head + b"a" * BODY_BYTES
        await self.check_bodies(lambda _: split(whole, CHUNK_BYTES))

    async def test_large_responses_that_stay_unread(self):
        get = self.head(has_body=False).replace(b"/1 ", b"/large ", 1) + b"\r\n"
        crowd = await self.crowd(lambda _: iter([get]), _BODIES, reads=False)
        await crowd.wait_until_still()
        await self.check()

    async def test_large_responses(self):
        get = self.head(has_body=False).replace(b"/1 ", b"/large ", 1) + b"\r\n"
        crowd = await self.crowd(lambda _: iter([get]), _BODIES)
        await crowd.wait_until_still()
        await self.check()

    async def test_part_of_a_head_and_then_silence(self):
        await self.crowd(lambda _: iter([self.head()]))
        await self.check_closed()

    async def test_part_of_a_body_and_then_silence(self):
        first = self.body_head() + b"a"
        await self.crowd(lambda _: iter([first]))
        await self.check_closed()

    async def test_stop_beside_parts_of_heads(self):
        await self.crowd(lambda _: iter([self.head()]))
        await self.check_stop()

    async def test_stop_beside_parts_of_bodies(self):
        first = self.body_head() + b"a"
        await self.crowd(lambda _: iter([first]))
        await self.check_stop()

    async def test_stop_beside_unread_answers(self):
        get = self.head(has_body=False) + b"\r\n"
        await self.crowd(lambda _: _endless(b"", get), _PIPELINES, reads=False)
        await self.check_stop()

    async def test_idle_connections_beyond_the_descriptors(self):
        await self.check_idle(self.listener)

    async def test_idle_connections_at_the_operators_listener(self):
        await self.check_idle(self.operators_listener)

    async def test_idle_connections_at_the_peers_listener(self):
        """Idle links used up the descriptors for callers and endpoints."""
        await self.check_idle(self.peers_listener)

    async def test_headers_without_end_at_the_operators_listener(self):
        await self.check_endless(
            b"GET /metrics HTTP/1.1\r\n",
            b"X-A: b\r\n",
            listener=self.operators_listener,
        )

    async def test_frames_of_peers_that_stop_short_of_their_end(self):
        short = struct.pack(">I", BODY_BYTES) + b"a" * (BODY_BYTES - 1)
        await self.check_bodies(
            lambda _: split(short, CHUNK_BYTES), listener=self.peers_listener
        )

    async def test_idle_connections_after_an_answer(self):
        get = self.head(has_body=False) + b"\r\n"
        await self.crowd(lambda _: iter([get]))
        await self.check_closed()
