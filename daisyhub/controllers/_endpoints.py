"""Keeps the endpoint table: the platform's list, and probes of a share."""

import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.balancing import (
    DrainOrder,
    EndpointState,
    EndpointTable,
    EndpointUpdate,
)
from daisyhub.base import Controller
from daisyhub.connections import HttpClient, RequestFailedError
from daisyhub.controllers._peers import PeerController
from daisyhub.exceptions import PlatformUnavailableError
from daisyhub.filters._forward import parse_endpoint_headers
from daisyhub.hosting import (
    EndpointRecord,
    PlatformClient,
    PlatformObject,
    rank_candidates,
)
from daisyhub.logs import get_logger
from daisyhub.peers import (
    EndpointsRequest,
    EndpointsResponse,
    PeerNetwork,
    PeerUnreachableError,
)
from daisyhub.settings import DaemonSettings

__all__ = ["EndpointController"]

_PROBE_TIMEOUT_S = 1.0
_QUIET_PROBES = 5

log = get_logger("endpoints")


class EndpointController(Controller):
    """Reads the platform's list and probes this daemon's share of it.

    Each endpoint is watched by one live daemon of the failure domain, chosen
    by rendezvous hashing; its news goes to the others in batches.

    Args:
        cfg: Settings of this daemon.
        client: The platform.
        http: Sends probes.
        table: The table to keep.
        peers: Tells live daemons, and takes news for them.
        network: Reaches a peer when the platform can't be reached.
    """

    name = "endpoints"

    def __init__(
        self,
        cfg: DaemonSettings,
        client: PlatformClient,
        http: HttpClient,
        table: EndpointTable,
        peers: PeerController,
        network: PeerNetwork,
    ):
        self._cfg = cfg
        self._client = client
        self._http = http
        self._table = table
        self._peers = peers
        self._network = network
        self._watchers: frozenset[str] = frozenset()
        self._is_watched: dict[str, bool] = {}

    def status(self) -> dict[str, object]:
        """Tells each endpoint's state."""
        now_s = time.monotonic()
        return {
            state.endpoint_id: {
                "pool": state.pool,
                "health": state.health(now_s),
                "load": state.load,
                "weight_version": state.weight_version,
                "incarnation": state.incarnation,
                "cheap": state.cheap,
            }
            for state in self._table.all()
        }

    async def run(self) -> None:
        """Reads and probes until cancelled."""
        async with anyio.create_task_group() as tasks:
            timing = self._cfg.timing
            tasks.start_soon(_repeat, timing.endpoint_poll_s, self._read_list)
            tasks.start_soon(_repeat, timing.probe_s, self._probe_share)

    async def on_drain(self, found: PlatformObject) -> None:
        """Takes an operator's order from the platform's watch."""
        order = msgspec.convert(found.value, DrainOrder)
        news = EndpointUpdate(
            endpoint_id=order.endpoint_id,
            incarnation=order.incarnation,
            is_leaving=True,
        )
        if self._table.apply_update(news):
            log.info("{} is drained by {}", order.endpoint_id, order.author)

    async def _read_list(self) -> None:
        try:
            records = await self._client.list_endpoints(
                self._cfg.failure_domain
            )
        except PlatformUnavailableError as exc:
            log.debug("the endpoint list can't be read: {}", exc)
            if not self._table.all():
                await self._catch_up()
            return
        self._table.apply_list(records, time.monotonic())

    async def _catch_up(self) -> None:
        """Takes a peer's endpoints: a daemon that starts without the platform.

        The platform's list replaces them as soon as it can be read.
        """
        domain = {peer.daemon_id for peer in self._cfg.domain_peers}
        for daemon_id in domain.intersection(self._peers.live_peers()):
            try:
                parts = await self._network.call(
                    daemon_id, EndpointsRequest(), _PROBE_TIMEOUT_S
                )
            except PeerUnreachableError:
                continue
            self._table.apply_list(parts.records, time.monotonic())
            return

    async def handle_fetch_request(
        self, _: EndpointsRequest
    ) -> EndpointsResponse:
        """Serves a peer's `EndpointsRequest`."""
        records = tuple(_record_of(state) for state in self._table.all())
        return EndpointsResponse(records=records)

    async def _probe_share(self) -> None:
        """Probes the quiet endpoints of this daemon's share.

        Answers to requests carry the same news, so that a busy endpoint
        needs no probe.
        """
        self._update_live_daemons()
        quiet_s = _QUIET_PROBES * self._cfg.timing.probe_s
        oldest_s = time.monotonic() - quiet_s
        async with anyio.create_task_group() as tasks:
            for state in self._table.all():
                if state.last_received_at_s > oldest_s:
                    continue
                if self._is_assigned_here(state.endpoint_id):
                    tasks.start_soon(self._probe, state)

    def _update_live_daemons(self) -> None:
        """Ranks watchers anew once the live daemons have changed."""
        live = frozenset((self._cfg.daemon_id, *self._peers.live_peers()))
        if live != self._watchers:
            self._watchers = live
            self._is_watched.clear()

    def _is_assigned_here(self, endpoint_id: str) -> bool:
        """Whether this daemon is the one that watches the endpoint."""
        if endpoint_id not in self._is_watched:
            watcher, *_ = rank_candidates(endpoint_id, self._watchers)
            self._is_watched[endpoint_id] = watcher == self._cfg.daemon_id
        return self._is_watched[endpoint_id]

    async def _probe(self, state: EndpointState) -> None:
        try:
            answer = await self._http.request(
                "GET", state.address, "/load", timeout_s=_PROBE_TIMEOUT_S
            )
        except RequestFailedError:
            self._http.drop_idle_connections(state.address)
            return
        state.last_received_at_s = time.monotonic()
        news = parse_endpoint_headers(state, answer.headers)
        if _tells_news(state, news):
            self._peers.add_update(news)
        self._table.apply_update(news)


def _record_of(state: EndpointState) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=state.endpoint_id,
        pool=state.pool,
        ip=state.address.ip,
        port=state.address.port,
        state="leaving" if state.is_leaving else "live",
        incarnation=state.incarnation,
        cheap=state.cheap,
    )


def _tells_news(state: EndpointState, news) -> bool:
    """Whether peers must hear it: new weights, or twice the load."""
    if news.weight_version > state.weight_version:
        return True
    return _load_level(news.load) != _load_level(state.reported_load)


def _load_level(load: float) -> int:
    """Quantises a load to powers of two."""
    return int(max(0.0, load)).bit_length()


async def _repeat(interval_s: float, work: Callable) -> None:
    while True:
        await work()
        await anyio.sleep(interval_s)
