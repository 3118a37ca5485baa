"""The peer socket: batched messages and calls over ZeroMQ.

Each daemon binds one PULL socket and connects one PUSH socket to each peer.
A peer that can't be reached loses messages instead of queueing them for long.
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

_QUEUE_MESSAGES = 64
_LINGER_MS = 200

log = get_logger("peers")

# Milliseconds between probes of a peer's connection, and without an answer
# after which it is closed and made anew: connections may go silent for good.
_PROBE_MS = 500
_SILENT_MS = 1500
# Milliseconds for one attempt to connect, and the longest pause between two.
# An attempt that waits for the kernel's own repeats goes on for seconds after
# a network cut has healed.
_CONNECT_MS = 500
_RECONNECT_MS = 500

Receiver = Callable[[object, object], None]
Callee = Callable[[object], Awaitable[object]]


class PeerProtocol:
    """The messages that daemons of one kind exchange.

    Args:
        envelope: Struct with `sender`, `incarnation` and `messages`.
        call: Struct with `call_id` and `content`.
        answer: Struct with `call_id` and `content`.
    """

    def __init__(self, envelope: type, call: type, answer: type):
        self.envelope = envelope
        self.call = call
        self.answer = answer
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(envelope)

    def encode(self, envelope: object) -> bytes:
        """Returns the MessagePack form."""
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> object:
        """Reads the MessagePack form.

        Raises:
            msgspec.DecodeError: The bytes are no envelope.
        """
        return self._decoder.decode(data)


_OWN_PROTOCOL = PeerProtocol(Envelope, Call, CallResponse)


class PeerUnreachableError(DaisyhubError):
    """A peer did not answer a call; its effect is unknown."""

    code = "peer_unreachable"


class PeerNetwork:
    """Sends and receives messages of one daemon.

    Args:
        cfg: Settings of this daemon.
        incarnation: Start of this process, microseconds since the epoch.
        protocol: The messages that pass.
    """

    def __init__(
        self,
        cfg: DaemonSettings,
        incarnation: int,
        protocol: PeerProtocol = _OWN_PROTOCOL,
    ):
        self._cfg = cfg
        self._protocol = protocol
        self._addresses = {p.daemon_id: p.address for p in cfg.peers}
        self._incarnation = incarnation
        self._context = zmq.asyncio.Context()
        self._sockets: dict[str, zmq.asyncio.Socket] = {}
        self._receivers: list[Receiver] = []
        self._callees: dict[type, Callee] = {}
        self._call_ids = itertools.count(1)
        self._answers: dict[int, object] = {}
        self._waiters: dict[int, anyio.Event] = {}

    def add_receiver(self, receiver: Receiver) -> None:
        """Passes every message that isn't a call to `receiver`."""
        self._receivers.append(receiver)

    def add_request_handler(self, kind: type, callee: Callee) -> None:
        """Lets `callee` answer calls whose content is a `kind`."""
        self._callees[kind] = callee

    def set_address(self, daemon_id: str, address: Address) -> None:
        """Tells where a peer listens; a changed address replaces the old."""
        if self._addresses.get(daemon_id) == address:
            return
        self.drop_address(daemon_id)
        self._addresses[daemon_id] = address

    def drop_address(self, daemon_id: str) -> None:
        """Forgets a peer and closes the socket to it."""
        self._addresses.pop(daemon_id, None)
        sock = self._sockets.pop(daemon_id, None)
        if sock is not None:
            sock.close(linger=0)

    def send(self, daemon_id: str, *messages: object) -> bool:
        """Hands messages to the socket; returns False if they were lost."""
        sock = self._socket(daemon_id)
        if sock is None or not messages:
            return False
        envelope = self._protocol.envelope(
            sender=self._cfg.daemon_id,
            incarnation=self._incarnation,
            messages=messages,
        )
        try:
            zmq.Socket.send(sock, self._protocol.encode(envelope), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    async def call(
        self, daemon_id: str, content: object, timeout_s: float
    ) -> object:
        """Asks a peer and waits for its answer.

        Raises:
            PeerUnreachableError: No answer came in time.
        """
        call_id = next(self._call_ids)
        waiter = anyio.Event()
        self._waiters[call_id] = waiter
        try:
            call = self._protocol.call(call_id=call_id, content=content)
            if not self.send(daemon_id, call):
                raise PeerUnreachableError(f"{daemon_id} can't be reached")
            with anyio.move_on_after(timeout_s):
                await waiter.wait()
            answer = self._answers.pop(call_id, None)
            if answer is None:
                raise PeerUnreachableError(f"{daemon_id} did not answer")
            return answer
        finally:
            del self._waiters[call_id]

    async def run(self) -> None:
        """Receives until cancelled."""
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
        sock.setsockopt(zmq.SNDHWM, _QUEUE_MESSAGES)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MS)
        sock.setsockopt(zmq.HEARTBEAT_IVL, _PROBE_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, _SILENT_MS)
        sock.connect(f"tcp://{address}")
        self._sockets[daemon_id] = sock
        return sock

    def _receive(self, data: bytes, tasks) -> None:
        try:
            envelope = self._protocol.decode(data)
        except msgspec.DecodeError as exc:
            log.warning("dropped an unreadable message: {}", exc)
            return
        for message in envelope.messages:
            if isinstance(message, self._protocol.call):
                tasks.start_soon(self._answer, envelope.sender, message)
            elif isinstance(message, self._protocol.answer):
                self._take_answer(message)
            else:
                for receiver in self._receivers:
                    receiver(envelope, message)

    async def _answer(self, sender: str, message) -> None:
        callee = self._callees.get(type(message.content))
        content = None
        if callee is not None:
            try:
                content = await callee(message.content)
            except DaisyhubError as exc:
                log.warning("call from {} failed: {}", sender, exc)
        answer = self._protocol.answer(call_id=message.call_id, content=content)
        self.send(sender, answer)

    def _take_answer(self, message) -> None:
        waiter = self._waiters.get(message.call_id)
        if waiter is None or message.content is None:
            return
        self._answers[message.call_id] = message.content
        waiter.set()
