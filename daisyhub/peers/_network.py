"""Messages and calls between daemons over ZeroMQ.

Each daemon binds one PULL socket and connects one PUSH socket to each peer.
Messages to an unreachable peer are dropped once a short queue is full.
"""

import itertools
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import zmq
import zmq.asyncio

from daisyhub.exceptions import DaisyhubError
from daisyhub.logs import get_logger
from daisyhub.peers._messages import Call, CallResponse, Envelope
from daisyhub.settings import Address, DaemonSettings

__all__ = ["PeerNetwork", "PeerProtocol", "PeerUnreachableError"]

# Maximum length of the queue to one peer.
_MAX_QUEUED_MESSAGES = 64
# Maximum wait for queued messages when the network is closed.
_LINGER_MS = 200

log = get_logger("peers")

# Milliseconds between ZeroMQ heartbeats on a connection, and the time without a
# response after which the connection is reopened. A dead connection may not
# fail by itself.
_HEARTBEAT_INTERVAL_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1500
# Milliseconds for one attempt to connect, and the maximum interval between two.
# Without the timeout, an attempt waits for the kernel's retransmissions, which
# takes seconds after a network partition has healed.
_CONNECT_TIMEOUT_MS = 500
_MAX_RECONNECT_INTERVAL_MS = 500

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
        return self._decoder.decode(data)


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
    """

    def __init__(
        self,
        cfg: DaemonSettings,
        incarnation: int,
        protocol: PeerProtocol = _DEFAULT_PROTOCOL,
    ):
        self._cfg = cfg
        self._protocol = protocol
        self._addresses = {p.daemon_id: p.address for p in cfg.peers}
        self._incarnation = incarnation
        self._context = zmq.asyncio.Context()
        self._sockets: dict[str, zmq.asyncio.Socket] = {}
        self._receivers: list[Receiver] = []
        self._request_handlers: dict[type, RequestHandler] = {}
        self._call_ids = itertools.count(1)
        self._responses: dict[int, object] = {}
        self._waiters: dict[int, anyio.Event] = {}

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
        """Removes a peer's address and closes the socket to it."""
        self._addresses.pop(daemon_id, None)
        sock = self._sockets.pop(daemon_id, None)
        if sock is not None:
            sock.close(linger=0)

    def send(self, daemon_id: str, *messages: object) -> bool:
        """Queues messages to a peer; returns False if they were dropped."""
        sock = self._socket(daemon_id)
        if sock is None or not messages:
            return False
        envelope = self._protocol.envelope(
            sender=self._cfg.daemon_id,
            incarnation=self._incarnation,
            messages=messages,
        )
        try:
            # The asyncio socket's own `send` would return a future.
            zmq.Socket.send(sock, self._protocol.encode(envelope), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    async def call(
        self, daemon_id: str, content: object, timeout_s: float
    ) -> object:
        """Sends a request to a peer and returns the content of its response.

        Raises:
            PeerUnreachableError: The request couldn't be sent, the peer
                couldn't serve it, or no response came within `timeout_s`.
        """
        call_id = next(self._call_ids)
        waiter = anyio.Event()
        self._waiters[call_id] = waiter
        try:
            call = self._protocol.call(call_id=call_id, content=content)
            if not self.send(daemon_id, call):
                raise PeerUnreachableError(
                    f"the request to {daemon_id} could not be sent: no address "
                    "or a full queue"
                )
            with anyio.move_on_after(timeout_s):
                await waiter.wait()
            response = self._responses.pop(call_id, None)
            if response is None:
                raise PeerUnreachableError(
                    f"no response from {daemon_id} within {timeout_s} s"
                )
            return response
        finally:
            del self._waiters[call_id]

    async def run(self) -> None:
        """Receives messages until cancelled."""
        sock = self._context.socket(zmq.PULL)
        sock.setsockopt(zmq.LINGER, 0)
        sock.bind(f"tcp://{self._cfg.peer_address}")
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    data = await sock.recv()
                    self._receive(data, tasks)
        finally:
            sock.close()

    def close(self) -> None:
        """Closes every socket."""
        self._context.destroy(linger=_LINGER_MS)

    def _socket(self, daemon_id: str) -> zmq.asyncio.Socket | None:
        sock = self._sockets.get(daemon_id)
        if sock is not None:
            return sock
        address = self._addresses.get(daemon_id)
        if address is None:
            return None
        sock = self._context.socket(zmq.PUSH)
        sock.setsockopt(zmq.LINGER, _LINGER_MS)
        sock.setsockopt(zmq.SNDHWM, _MAX_QUEUED_MESSAGES)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)
        sock.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
        sock.connect(f"tcp://{address}")
        self._sockets[daemon_id] = sock
        return sock

    def _receive(self, data: bytes, tasks) -> None:
        try:
            envelope = self._protocol.decode(data)
        except msgspec.DecodeError as exc:
            log.warning("dropped a message that could not be decoded: {}", exc)
            return
        for message in envelope.messages:
            if isinstance(message, self._protocol.call):
                tasks.start_soon(self._respond, envelope.sender, message)
            elif isinstance(message, self._protocol.response):
                self._record_response(message)
            else:
                for receiver in self._receivers:
                    receiver(envelope, message)

    async def _respond(self, sender: str, message) -> None:
        handler = self._request_handlers.get(type(message.content))
        content = None
        if handler is not None:
            try:
                content = await handler(message.content)
            except DaisyhubError as exc:
                log.warning("call from {} failed: {}", sender, exc)
        response = self._protocol.response(
            call_id=message.call_id, content=content
        )
        self.send(sender, response)

    def _record_response(self, message) -> None:
        """Passes a response to the waiting call.

        Without content, the peer couldn't serve the call, which then times out.
        """
        waiter = self._waiters.get(message.call_id)
        if waiter is None or message.content is None:
            return
        self._responses[message.call_id] = message.content
        waiter.set()
