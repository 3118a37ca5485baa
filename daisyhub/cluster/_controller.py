"""Pings the other daemons and takes their pings."""

import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.catalog import ManifestController
from daisyhub.cluster._cluster_clock import ClusterClock
from daisyhub.cluster._messages import ManifestRequest, ManifestResponse, Ping
from daisyhub.cluster._peers import PeerTable
from daisyhub.cluster._ping_plan import PING_S, PingPlan
from daisyhub.exceptions import DaisyhubError
from daisyhub.logs import DecisionLog
from daisyhub.objects import (
    KindWatcher,
    ObjectConflictError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    is_same_json,
)
from daisyhub.peers import PeerNetwork
from daisyhub.settings import Address

__all__ = ["ClusterController"]

DAEMONS_KIND = "daemons"
_CALL_TIMEOUT_S = 0.5
_REGISTER_PAUSE_S = 1.0
# Rounds of pings between those that carry all addresses: they are two thirds
# of a ping's bytes among 55 daemons, and change when a daemon comes.
_ADDRESSES_EACH = 5
# Seconds between looks at the store's list while no other daemon is heard.
_LONELY_LOOK_S = 2.0


class _DaemonRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's object in the store: where its peer socket listens."""

    address: str
    domain: str


class ClusterController(Controller):
    """Keeps the peer table and the true clock up to date.

    Args:
        own_id: Id of this daemon.
        own_address: Where its peer socket listens.
        seeds: Peer sockets known from the settings.
        network: Sends and receives.
        peers: The table to keep.
        clock: Takes the peers' times.
        manifests: Learns newer manifests from peers.
        store: Where daemons find each other.
        make_ping: Returns what to tell; its `peers` are filled in here.
        log: Where decisions are noted.
    """

    name = "cluster"

    def __init__(
        self,
        own_id: str,
        own_address: Address,
        seeds: tuple[Address, ...],
        network: PeerNetwork,
        peers: PeerTable,
        clock: ClusterClock,
        manifests: ManifestController,
        store: ObjectStore,
        make_ping: Callable[[], Ping],
        log: DecisionLog,
    ):
        self._own_id = own_id
        self._own_address = own_address
        self._seeds = seeds
        self._network = network
        self._peers = peers
        self._clock = clock
        self._manifests = manifests
        self._store = store
        self._make_ping = make_ping
        self._log = log
        self._addresses: dict[str, str] = {}
        self._watchers: tuple[KindWatcher, ...] = ()
        self._plan = PingPlan()
        self._round = 0
        self._is_fetching = False

    def set_watchers(self, watchers: tuple[KindWatcher, ...]) -> None:
        """Compares these watchers with what peers saw."""
        self._watchers = watchers

    def status(self) -> dict[str, object]:
        """Tells the daemons that are heard and those that aren't."""
        live = {peer.daemon_id for peer in self._peers.live()}
        return {
            "live": sorted(live),
            "silent": sorted(
                peer.daemon_id
                for peer in self._peers.all()
                if peer.daemon_id not in live
            ),
        }

    async def run(self) -> None:
        """Registers, finds the others and pings until cancelled."""
        for number, seed in enumerate(self._seeds):
            if seed != self._own_address:
                self._network.set_address(f"seed {number}", seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._find_others)
            while True:
                self.send_pings()
                await anyio.sleep(PING_S)
                for daemon_id in self._peers.note_time():
                    self._addresses.pop(daemon_id, None)
                    self._network.drop_address(daemon_id)
                if self._needs_manifest():
                    tasks.start_soon(self._fetch_manifest)

    def send_pings(self) -> None:
        """Sends a ping to every daemon known, or a part of many in turn."""
        ping = self._make_ping()
        if self._round % _ADDRESSES_EACH == 0:
            ping = msgspec.structs.replace(ping, peers=dict(self._addresses))
        self._round += 1
        has_duty = bool(ping.duties)
        self._peers.set_has_duty(has_duty)
        live = self._peers.live()
        names = self._plan.choose(
            sorted(self._addresses),
            {peer.daemon_id for peer in live if peer.ping.duties},
            has_duty=has_duty,
        )
        unheard = not live
        seeds = [f"seed {n}" for n in range(len(self._seeds))]
        for name in [*names, *(seeds if unheard else ())]:
            self._network.send(name, ping)

    def learn_address(self, daemon_id: str, address: str) -> None:
        """Notes where a daemon listens."""
        if daemon_id == self._own_id or not address:
            return
        if self._addresses.get(daemon_id) == address:
            return
        ip, _, port = address.rpartition(":")
        if not port.isdigit():
            self._log.record(
                "peer_address_invalid", peer=daemon_id, text=address
            )
            return
        self._addresses[daemon_id] = address
        self._network.set_address(daemon_id, Address(ip=ip, port=int(port)))
        self._log.record("peer_learned", peer=daemon_id, address=address)

    def receive(self, envelope, message: object) -> None:
        """Takes a ping."""
        if not isinstance(message, Ping) or envelope.sender == self._own_id:
            return
        sender = envelope.sender
        self.learn_address(sender, message.address)
        for daemon_id, address in message.peers.items():
            if daemon_id not in self._addresses:
                self.learn_address(daemon_id, address)
        self._peers.note_ping(sender, envelope.incarnation, message)
        self._clock.record(sender, message.wall_s)
        now_s = time.monotonic()
        for watcher in self._watchers:
            newest = message.newest.get(watcher.kind, 0)
            watcher.note_peer_revision(newest, now_s)

    async def _find_others(self) -> None:
        """Writes the own object, then reads those of the others.

        Of two daemons, the one that wrote later finds the other and pings
        it; so neither needs to watch.
        """
        await self._register()
        while True:
            try:
                listed = await self._store.list_all(DAEMONS_KIND)
            except ObjectStoreError as exc:
                self._log.record("daemons_not_listed", reason=str(exc))
                await anyio.sleep(_REGISTER_PAUSE_S)
                continue
            for found in listed.items:
                self._note_daemon(found)
            await anyio.sleep(_LONELY_LOOK_S)
            while self._peers.live():
                await anyio.sleep(_LONELY_LOOK_S)

    def _note_daemon(self, found: StoredObject) -> None:
        """Takes a daemon's object from the store."""
        try:
            record = msgspec.json.decode(found.spec, type=_DaemonRecord)
        except msgspec.DecodeError as exc:
            self._log.record(
                "daemon_unreadable", name=found.name, reason=str(exc)
            )
            return
        peer = self._peers.get(found.name)
        if peer is None or not self._peers.is_live(found.name):
            self.learn_address(found.name, record.address)

    async def handle_manifest_request(
        self, _: ManifestRequest
    ) -> ManifestResponse:
        """Hands the manifest in force to a peer."""
        return ManifestResponse(found=self._manifests.active_object)

    def _needs_manifest(self) -> bool:
        if self._is_fetching:
            return False
        return any(
            peer.ping.manifest_revision > self._manifests.revision
            for peer in self._peers.live()
        )

    async def _fetch_manifest(self) -> None:
        """Asks the live peer with the newest manifest for it."""
        peers = self._peers.live()
        newest = max(peers, key=lambda p: p.ping.manifest_revision)
        self._is_fetching = True
        try:
            answer = await self._network.call(
                newest.daemon_id, ManifestRequest(), _CALL_TIMEOUT_S
            )
        except DaisyhubError as exc:
            self._log.record(
                "manifest_fetch_failed",
                peer=newest.daemon_id,
                reason=str(exc),
            )
            return
        finally:
            self._is_fetching = False
        if answer.found is not None:
            self._manifests.adopt(answer.found, newest.daemon_id)

    async def _register(self) -> None:
        """Writes the own object, until the store holds this address."""
        record = _DaemonRecord(
            address=str(self._own_address), domain=self._make_ping().domain
        )
        spec = msgspec.json.encode(record)
        while True:
            try:
                await self._write_record(spec)
            except (ObjectStoreError, ObjectConflictError) as exc:
                self._log.record("register_failed", reason=str(exc))
                await anyio.sleep(_REGISTER_PAUSE_S)
                continue
            return

    async def _write_record(self, spec: bytes) -> None:
        try:
            await self._store.create(DAEMONS_KIND, self._own_id, spec)
        except ObjectConflictError as exc:
            found = exc.found or await self._store.read(
                DAEMONS_KIND, self._own_id
            )
            if found is None or is_same_json(found.spec, spec):
                return
            await self._store.replace(
                DAEMONS_KIND, self._own_id, spec, revision=found.revision
            )
