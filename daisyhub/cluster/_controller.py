"""Pings the other daemons of the cluster and handles their pings."""

import random
import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.catalog import ManifestController
from daisyhub.cluster._cluster_clock import ClusterClock
from daisyhub.cluster._messages import (
    ManifestRequest,
    ManifestResponse,
    Ping,
    UsageReport,
)
from daisyhub.cluster._peers import PeerTable
from daisyhub.cluster._ping_plan import (
    PING_INTERVAL_S,
    PingPlan,
    rounds_per_report,
)
from daisyhub.cluster._ping_size import fit_into_datagram
from daisyhub.exceptions import DaisyhubError
from daisyhub.fleet_settings import parse_address
from daisyhub.json_texts import decode_json
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
_RETRY_DELAY_S = 1.0
# Every so many rounds, the pings carry addresses. They are most of a ping's
# bytes and change only when a daemon joins.
_ADDRESS_LIST_ROUNDS = 5
# Addresses in a ping: with them, it still fits into a datagram.
_MAX_ADDRESSES = 16
# Addresses in a ping that also has samples of capacity: 16 and the samples need
# 1,463 bytes, and a datagram has 1,400.
_MAX_ADDRESSES_WITH_SAMPLES = 8
# Seconds after a new address during which each ping carries addresses, so that
# a few hundred daemons that start together know each other soon.
_NEW_ADDRESS_S = 5.0
# Seconds between checks whether another daemon is live. While there is none,
# the daemons in the store are listed.
_DISCOVERY_INTERVAL_S = 2.0
# Seconds between lists of the daemons by a daemon with a duty, which unite
# groups of daemons that don't know of each other.
_LIST_INTERVAL_S = 10.0


class _DaemonRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's object in the store.

    Attributes:
        address: Where its peer socket listens, `IP:PORT`.
        domain: Its failure domain.
    """

    address: str
    domain: str


class ClusterController(Controller):
    """Keeps the peer table and the cluster clock up to date.

    Args:
        own_id: Id of this daemon.
        own_address: Where its peer socket listens.
        seeds: Addresses of peer sockets from the settings.
        network: Sends and receives messages.
        peers: The table to update.
        clock: The clock to update with the peers' times of day.
        manifests: Receives newer manifests that peers have.
        store: The store with one object per daemon, used for discovery.
        make_ping: Returns the ping to send, without `holders` and `peers`,
            which this controller fills in.
        make_usage_report: Returns the usage counts to send.
        usage_duty: Name of the duty whose holder receives these counts.
        log: Log of decisions.
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
        make_usage_report: Callable[[], UsageReport],
        usage_duty: str,
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
        self._make_usage_report = make_usage_report
        self._usage_duty = usage_duty
        self._log = log
        self._addresses: dict[str, str] = {}
        self._watchers: tuple[KindWatcher, ...] = ()
        self._plan = PingPlan()
        self._new_address_at_s = float("-inf")
        self._has_duty = False
        self._last_standbys: tuple[str, ...] = ()
        self._round = 0
        self._is_fetching = False

    def set_watchers(self, watchers: tuple[KindWatcher, ...]) -> None:
        """Sets the watchers that receive the newest revisions of peers."""
        self._watchers = watchers

    def status(self) -> dict[str, object]:
        """Returns the ids of the live and of the lost daemons."""
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
        """Registers this daemon, discovers peers and pings them regularly."""
        for number, seed in enumerate(self._seeds):
            if seed != self._own_address:
                self._network.set_address(f"seed {number}", seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._discover_peers)
            while True:
                self.send_pings()
                await anyio.sleep(PING_INTERVAL_S)
                for daemon_id in self._peers.expire_peers():
                    self._addresses.pop(daemon_id, None)
                    self._network.drop_address(daemon_id)
                if self._needs_manifest():
                    tasks.start_soon(self._fetch_manifest)

    def send_pings(self) -> None:
        """Pings the daemons that `PingPlan` chooses for this round.

        The seeds are pinged as well while no peer is live.
        """
        ping = self._complete_ping()
        self._round += 1
        names = self._plan.choose(
            sorted(self._addresses),
            self._peers.live_holder_ids(),
            self._peers.close_ids(),
        )
        if not self._peers.live():
            names += [f"seed {n}" for n in range(len(self._seeds))]
        self._network.send_datagrams(names, ping)
        if self._round % rounds_per_report(len(self._addresses)) == 0:
            self._send_usage()

    def announce_shutdown(self) -> None:
        """Sends a ping and the usage counts of a daemon that shuts down.

        The standbys of the duties that it released get the ping, too.
        """
        standbys = self._last_standbys
        ping = self._complete_ping()
        names = {
            *standbys,
            *self._plan.choose(
                sorted(self._addresses), self._peers.live_holder_ids(), ()
            ),
        }
        self._network.send_datagrams(sorted(names), ping)
        holder = self._peers.holder_of(self._usage_duty)
        if holder is not None:
            self._network.send(holder.daemon_id, self._make_usage_report())

    def _send_usage(self) -> None:
        """Sends usage counts; the next report repeats them if this is lost."""
        holder = self._peers.holder_of(self._usage_duty)
        if holder is not None:
            self._network.send_datagrams(
                [holder.daemon_id], self._make_usage_report()
            )

    def _complete_ping(self) -> Ping:
        """Returns a ping with news of the holders and some addresses."""
        ping = self._make_ping()
        self._has_duty = bool(ping.duties)
        self._last_standbys = ping.standbys or self._last_standbys
        self._peers.set_own_duty(self._has_duty, frozenset(ping.standbys))
        addresses = self._choose_addresses()
        has_space = len(addresses) <= _MAX_ADDRESSES_WITH_SAMPLES
        ping = msgspec.structs.replace(
            ping,
            holders=self._peers.make_holder_news(),
            peers=addresses,
            capacity=ping.capacity if has_space else None,
        )
        return fit_into_datagram(ping, self._round)

    def _choose_addresses(self) -> dict[str, str]:
        """Returns the addresses to send in a ping, in most rounds none."""
        age_s = time.monotonic() - self._new_address_at_s
        if age_s > _NEW_ADDRESS_S and self._round % _ADDRESS_LIST_ROUNDS:
            return {}
        names = list(self._addresses)
        if len(names) > _MAX_ADDRESSES:
            names = random.sample(names, _MAX_ADDRESSES)
        return {name: self._addresses[name] for name in names}

    def set_peer_address(self, daemon_id: str, address: str) -> None:
        """Sets the address at which a daemon's peer socket listens.

        Ignores this daemon's id and empty addresses; logs invalid ones.
        """
        if daemon_id == self._own_id or not address:
            return
        if self._addresses.get(daemon_id) == address:
            return
        try:
            parsed = parse_address(address)
        except ValueError as exc:
            self._log.record(
                "peer_address_invalid", peer=daemon_id, reason=str(exc)
            )
            return
        self._addresses[daemon_id] = address
        self._new_address_at_s = time.monotonic()
        self._network.set_address(daemon_id, parsed)
        self._log.record("peer_learned", peer=daemon_id, address=address)

    def receive(self, envelope, message: object) -> None:
        """Handles a ping or a usage report of a peer."""
        sender = envelope.sender
        if isinstance(message, UsageReport):
            self._peers.record_contact(sender, envelope.incarnation)
        if not isinstance(message, Ping) or sender == self._own_id:
            return
        self.set_peer_address(sender, message.address)
        for daemon_id, address in message.peers.items():
            if daemon_id not in self._addresses:
                self.set_peer_address(daemon_id, address)
        for news in message.holders:
            self.set_peer_address(news.daemon_id, news.address)
        is_new = self._peers.record_ping(sender, envelope.incarnation, message)
        if is_new:
            self._network.send_datagrams([sender], self._complete_ping())
        self._clock.record_peer_time(sender, message.wall_s)
        now_s = time.monotonic()
        for watcher in self._watchers:
            newest = message.newest.get(watcher.kind, 0)
            watcher.record_peer_revision(newest, now_s)

    async def _discover_peers(self) -> None:
        """Writes this daemon's object; lists those of others if needed.

        Usually the seeds' pings bring daemons together. Of two daemons
        without seeds, the one that wrote its object later finds the other and
        pings it, so neither needs a watch.
        """
        await self._register()
        listed_at_s = time.monotonic()
        while True:
            await anyio.sleep(_DISCOVERY_INTERVAL_S)
            is_due = time.monotonic() - listed_at_s >= _LIST_INTERVAL_S
            if self._peers.live() and not (self._has_duty and is_due):
                continue
            listed_at_s = time.monotonic()
            try:
                listed = await self._store.list_all(DAEMONS_KIND)
            except ObjectStoreError as exc:
                self._log.record("daemons_not_listed", reason=str(exc))
                continue
            for found in listed.items:
                self._add_listed_daemon(found)

    def _add_listed_daemon(self, found: StoredObject) -> None:
        """Sets a daemon's address from its object unless the daemon is live."""
        try:
            record = decode_json(found.spec, type=_DaemonRecord)
        except msgspec.DecodeError as exc:
            self._log.record(
                "daemon_unreadable", name=found.name, reason=str(exc)
            )
            return
        peer = self._peers.get(found.name)
        if peer is None or not self._peers.is_live(found.name):
            self.set_peer_address(found.name, record.address)

    async def handle_manifest_request(
        self, _: ManifestRequest
    ) -> ManifestResponse:
        """Returns the active manifest to a peer."""
        return ManifestResponse(found=self._manifests.active_object)

    def _needs_manifest(self) -> bool:
        if self._is_fetching:
            return False
        return any(
            peer.ping.manifest_revision > self._manifests.revision
            for peer in self._peers.live()
        )

    async def _fetch_manifest(self) -> None:
        """Fetches the manifest from the live peer that has the newest one."""
        newest = max(
            self._peers.live(),
            key=lambda p: p.ping.manifest_revision,
            default=None,
        )
        if newest is None:
            # The peer that had it was lost since.
            return
        self._is_fetching = True
        try:
            response = await self._network.call(
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
        if response.found is not None:
            self._manifests.adopt(response.found, newest.daemon_id)

    async def _register(self) -> None:
        """Writes this daemon's object to the store; retries after failures."""
        record = _DaemonRecord(
            address=str(self._own_address), domain=self._make_ping().domain
        )
        spec = msgspec.json.encode(record)
        while True:
            try:
                await self._write_record(spec)
            except (ObjectStoreError, ObjectConflictError) as exc:
                self._log.record("register_failed", reason=str(exc))
                await anyio.sleep(_RETRY_DELAY_S)
                continue
            return

    async def _write_record(self, spec: bytes) -> None:
        """Creates this daemon's object, or replaces one with another spec."""
        try:
            await self._store.create(DAEMONS_KIND, self._own_id, spec)
        except ObjectConflictError as exc:
            found = exc.found or await self._store.read(
                DAEMONS_KIND, self._own_id
            )
            if found is None:
                # It was deleted since; a new attempt creates it.
                raise ObjectStoreError(
                    f"the object of {self._own_id} was deleted",
                    may_be_done=False,
                ) from exc
            if is_same_json(found.spec, spec):
                return
            await self._store.replace(
                DAEMONS_KIND, self._own_id, spec, revision=found.revision
            )
