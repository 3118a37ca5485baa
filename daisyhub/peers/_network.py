"""Messages and calls between daemons.

Messages that must arrive, such as calls, are sent over one TCP connection a
peer, which is opened when needed. Frequent messages of which the next one
repeats the last, such as pings, are sent as datagrams. Neither costs anything
for peers that no message is sent to.
"""

import asyncio
import itertools
import socket
import time
from collections.abc import Awaitable, Callable, Iterable

import anyio
import msgspec

from daisyhub.exceptions import DaisyhubError
from daisyhub.logs import get_logger
from daisyhub.memory import MemoryBudget
from daisyhub.peers._links import IncomingLink, OutgoingLink
from daisyhub.peers._messages import Call, CallResponse, Envelope
from daisyhub.serving import ConnectionTable
from daisyhub.settings import Address, DaemonSettings

__all__ = ["PeerNetwork", "PeerProtocol", "PeerUnreachableError"]

# Largest message that is sent as a datagram, in bytes: what fits into one
# packet of an Ethernet link. Larger ones go over TCP.
_MAX_DATAGRAM_BYTES = 1400
# Seconds between checks for connections whose senders are gone.
_SWEEP_INTERVAL_S = 30.0

# Connections accepted at a time, and those that wait for it.
_ACCEPT_COUNT = 16
_BACKLOG = 1024
# Maximum number of connections from peers if none is stated.
_MOST_LINKS = 1 << 14

log = get_logger("peers")

Receiver = Callable[[object, object], None]
RequestHandler = Callable[[object], Awaitable[object]]


class PeerProtocol:
    """The message types that one kind of daemon exchanges.

    Args:
        envelope: Struct with `sender`, `incarnation` and `messages`.
        call: Struct with `call_id` and `content`.
        response: Struct with `call_id` and `content`.
    """

    def __init__(self, envelope: type, call: type, response: type):
        self.envelope = envelope
        self.call = call
        self.response = response
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(envelope)

    def encode(self, envelope: object) -> bytes:
        """Returns an envelope as MessagePack."""
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> object:
        """Decodes an envelope from MessagePack.

        Raises:
            msgspec.DecodeError: The bytes are not a valid envelope.
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as exc:
            raise msgspec.DecodeError("nested too deeply") from exc


_DEFAULT_PROTOCOL = PeerProtocol(Envelope, Call, CallResponse)


class PeerUnreachableError(DaisyhubError):
    """A peer returned no result of a call, whose effect is unknown."""

    code = "peer_unreachable"


class PeerNetwork:
    """Sends and receives the messages of one daemon.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
        protocol: The message types that are exchanged.
        memory: Memory of the process for what others send; by default that of
            a process that states none.
        most_links: Maximum number of connections from peers.
    """

    def __init__(
        self,
        cfg: DaemonSettings,
        incarnation: int,
        protocol: PeerProtocol = _DEFAULT_PROTOCOL,
        memory: MemoryBudget | None = None,
        most_links: int = _MOST_LINKS,
    ):
        self._cfg = cfg
        self._links_table = ConnectionTable(most_links)
        self._memory = memory or MemoryBudget()
        self._protocol = protocol
        self._addresses = {p.daemon_id: p.address for p in cfg.peers}
        self._incarnation = incarnation
        self._links: dict[str, OutgoingLink] = {}
        self._incoming: set[IncomingLink] = set()
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks = None
        self._receivers: list[Receiver] = []
        self._request_handlers: dict[type, RequestHandler] = {}
        # A peer may still respond to calls of the process before a restart.
        # Starting at the incarnation keeps their ids distinct.
        self._call_ids = itertools.count(incarnation)
        self._waiters: dict[int, asyncio.Future] = {}

    def add_receiver(self, receiver: Receiver) -> None:
        """Adds a receiver of all messages except calls and their responses.

        It is called with the envelope and one message.
        """
        self._receivers.append(receiver)

    def add_request_handler(self, kind: type, handler: RequestHandler) -> None:
        """Sets the handler of calls whose content is of type `kind`.

        It returns the content of the response. If it raises `DaisyhubError`,
        the call of the peer times out.
        """
        self._request_handlers[kind] = handler

    def set_address(self, daemon_id: str, address: Address) -> None:
        """Sets a peer's address; a change closes the socket to the old one."""
        if self._addresses.get(daemon_id) == address:
            return
        self.drop_address(daemon_id)
        self._addresses[daemon_id] = address

    def drop_address(self, daemon_id: str) -> None:
        """Removes a peer's address and closes the connection to it."""
        self._addresses.pop(daemon_id, None)
        link = self._links.pop(daemon_id, None)
        if link is not None:
            link.abort()

    def send(self, daemon_id: str, *messages: object) -> bool:
        """Queues messages to a peer; returns False if they were dropped."""
        if not messages:
            return False
        return self._send_frame(daemon_id, self._encode(messages))

    def send_datagrams(
        self, daemon_ids: Iterable[str], *messages: object
    ) -> None:
        """Sends messages that may be lost to several peers.

        Messages too large for a datagram are sent like those of `send`.
        """
        frame = self._encode(messages)
        is_small = len(frame) <= _MAX_DATAGRAM_BYTES
        for daemon_id in daemon_ids:
            address = self._addresses.get(daemon_id)
            if address is None:
                continue
            if is_small and self._datagrams is not None:
                self._datagrams.sendto(frame, (address.ip, address.port))
            else:
                self._send_frame(daemon_id, frame)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of messages to all peers that wait for slow links."""
        return sum(link.unsent_bytes for link in self._links.values())

    async def call(
        self, daemon_id: str, content: object, timeout_s: float
    ) -> object:
        """Sends a request to a peer and returns the content of its response.

        Raises:
            PeerUnreachableError: The request couldn't be sent, the peer
                couldn't serve it, or no response came within `timeout_s`.
        """
        call_id = next(self._call_ids)
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiters[call_id] = waiter
        timer = loop.call_later(timeout_s, _expire, waiter)
        try:
            call = self._protocol.call(call_id=call_id, content=content)
            if not self.send(daemon_id, call):
                raise PeerUnreachableError(
                    f"the request to {daemon_id} could not be sent: no "
                    "address, no connection or a full queue"
                )
            response = await waiter
            if response is None:
                raise PeerUnreachableError(
                    f"no response from {daemon_id} within {timeout_s} s"
                )
            return response
        finally:
            timer.cancel()
            del self._waiters[call_id]

    async def run(self) -> None:
        """Receives messages until cancelled."""
        loop = asyncio.get_running_loop()
        own = self._cfg.peer_address
        sock = socket.create_server((own.ip, own.port))
        # Accepted sockets inherit the option, which asyncio sets only on
        # sockets with an explicit protocol number.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server = await loop.create_server(
            lambda: IncomingLink(
                self._receive, self._incoming, self._links_table, self._memory
            ),
            sock=sock,
            # Also the number of connections accepted at a time, before the
            # first of them can make room for others.
            backlog=_ACCEPT_COUNT,
        )
        sock.listen(_BACKLOG)
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._receive),
            local_addr=(own.ip, own.port),
        )
        try:
            async with anyio.create_task_group() as self._tasks:
                while True:
                    await anyio.sleep(_SWEEP_INTERVAL_S)
                    now_s = time.monotonic()
                    for link in list(self._incoming):
                        link.close_if_idle(now_s)
        finally:
            server.close()
            self._datagrams.close()
            self._datagrams = None
            self._tasks = None
            for link in list(self._incoming):
                link.abort()

    def close(self) -> None:
        """Closes the connections to all peers."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _encode(self, messages: tuple[object, ...]) -> bytes:
        return self._protocol.encode(
            self._protocol.envelope(
                sender=self._cfg.daemon_id,
                incarnation=self._incarnation,
                messages=messages,
            )
        )

    def _send_frame(self, daemon_id: str, frame: bytes) -> bool:
        link = self._links.get(daemon_id)
        if link is None:
            address = self._addresses.get(daemon_id)
            if address is None:
                return False
            link = self._links[daemon_id] = OutgoingLink(address)
        return link.send(frame)

    def _receive(self, data: bytes) -> None:
        if self._tasks is None:
            return
        try:
            envelope = self._protocol.decode(data)
        except msgspec.DecodeError as exc:
            log.warning("dropped a message that could not be decoded: {}", exc)
            return
        for message in envelope.messages:
            if isinstance(message, self._protocol.call):
                self._tasks.start_soon(self._respond, envelope.sender, message)
            elif isinstance(message, self._protocol.response):
                self._record_response(message)
            else:
                self._deliver(envelope, message)

    def _deliver(self, envelope, message: object) -> None:
        """Passes a message to all receivers; a fault in one stays there."""
        for receiver in self._receivers:
            try:
                receiver(envelope, message)
            except Exception:
                log.exception(
                    "message {} from {}", type(message), envelope.sender
                )

    async def _respond(self, sender: str, message) -> None:
        handler = self._request_handlers.get(type(message.content))
        content = None
        if handler is not None:
            try:
                content = await handler(message.content)
            except DaisyhubError as exc:
                log.warning("call from {} failed: {}", sender, exc)
            except Exception:
                # A fault in one handler must not end the daemon.
                log.exception("call of {} from {}", message.content, sender)
        response = self._protocol.response(
            call_id=message.call_id, content=content
        )
        self.send(sender, response)

    def _record_response(self, message) -> None:
        """Passes a response to the waiting call.

        Without content, the peer couldn't serve the call, which then times out.
        """
        waiter = self._waiters.get(message.call_id)
        if waiter is None or waiter.done() or message.content is None:
            return
        waiter.set_result(message.content)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams on.

    Args:
        on_datagram: Called with each datagram.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]):
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Passes a datagram on; the envelope names its sender."""
        del addr
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores reports that a peer's port is closed.

        Such a peer is found and logged by its missing pings.
        """


def _expire(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)
