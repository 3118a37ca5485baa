"""Updates the endpoint table from the platform's list and from probes."""

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
# An endpoint is probed after this many probe intervals without a response.
_QUIET_PROBE_INTERVALS = 5

log = get_logger("endpoints")


class EndpointController(Controller):
    """Polls the platform's list and probes the endpoints of this daemon.

    Each endpoint is probed by one live daemon of the failure domain, chosen by
    rendezvous hashing, which sends updates to the others in batches.

    Args:
        cfg: Settings of this daemon.
        client: Client of the platform.
        http: Sends probes.
        table: The table to update.
        peers: Provides the live daemons and sends them updates.
        network: Connections to peers, used if the platform is unavailable.
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
        self._live_daemons: frozenset[str] = frozenset()
        self._is_assigned: dict[str, bool] = {}

    def status(self) -> dict[str, object]:
        """Returns the state of each endpoint, by endpoint id."""
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
        """Polls the list and sends probes until cancelled."""
        async with anyio.create_task_group() as tasks:
            timing = self._cfg.timing
            tasks.start_soon(_repeat, timing.endpoint_poll_s, self._read_list)
            tasks.start_soon(_repeat, timing.probe_s, self._probe_assigned)

    async def on_drain(self, found: PlatformObject) -> None:
        """Handles an operator's drain order from the watch."""
        order = msgspec.convert(found.value, DrainOrder)
        update = EndpointUpdate(
            endpoint_id=order.endpoint_id,
            incarnation=order.incarnation,
            is_leaving=True,
        )
        if self._table.apply_update(update):
            log.info(
                "endpoint {} is drained by {}", order.endpoint_id, order.author
            )

    async def _read_list(self) -> None:
        try:
            records = await self._client.list_endpoints(
                self._cfg.failure_domain
            )
        except PlatformUnavailableError as exc:
            log.debug("reading the endpoint list failed: {}", exc)
            if not self._table.all():
                await self._fetch_list_from_peer()
            return
        self._table.apply_list(records, time.monotonic())

    async def _fetch_list_from_peer(self) -> None:
        """Fills the table from a live peer while the platform is unavailable.

        Used if the daemon starts without the platform. The platform's list
        replaces these endpoints as soon as it can be read.
        """
        domain = {peer.daemon_id for peer in self._cfg.domain_peers}
        for daemon_id in domain.intersection(self._peers.live_peers()):
            try:
                response = await self._network.call(
                    daemon_id, EndpointsRequest(), _PROBE_TIMEOUT_S
                )
            except PeerUnreachableError:
                continue
            self._table.apply_list(response.records, time.monotonic())
            return

    async def handle_fetch_request(
        self, _: EndpointsRequest
    ) -> EndpointsResponse:
        """Returns all endpoints of the table, for a peer."""
        records = tuple(_make_record(state) for state in self._table.all())
        return EndpointsResponse(records=records)

    async def _probe_assigned(self) -> None:
        """Probes the assigned endpoints that haven't responded recently.

        Responses to requests carry the same data as a probe, so a busy
        endpoint needs none.
        """
        self._update_live_daemons()
        quiet_s = _QUIET_PROBE_INTERVALS * self._cfg.timing.probe_s
        oldest_s = time.monotonic() - quiet_s
        async with anyio.create_task_group() as tasks:
            for state in self._table.all():
                if state.last_received_at_s > oldest_s:
                    continue
                if self._is_assigned_here(state.endpoint_id):
                    tasks.start_soon(self._probe, state)

    def _update_live_daemons(self) -> None:
        """Discards the assignments if the live daemons have changed."""
        live = frozenset((self._cfg.daemon_id, *self._peers.live_peers()))
        if live != self._live_daemons:
            self._live_daemons = live
            self._is_assigned.clear()

    def _is_assigned_here(self, endpoint_id: str) -> bool:
        """Returns whether this daemon probes the endpoint."""
        if endpoint_id not in self._is_assigned:
            assigned_id, *_ = rank_candidates(endpoint_id, self._live_daemons)
            self._is_assigned[endpoint_id] = assigned_id == self._cfg.daemon_id
        return self._is_assigned[endpoint_id]

    async def _probe(self, state: EndpointState) -> None:
        try:
            response = await self._http.request(
                "GET", state.address, "/load", timeout_s=_PROBE_TIMEOUT_S
            )
        except RequestFailedError:
            self._http.drop_idle_connections(state.address)
            return
        state.last_received_at_s = time.monotonic()
        update = parse_endpoint_headers(state, response.headers)
        if _should_send(state, update):
            self._peers.add_update(update)
        self._table.apply_update(update)


def _make_record(state: EndpointState) -> EndpointRecord:
    return EndpointRecord(
        endpoint_id=state.endpoint_id,
        pool=state.pool,
        ip=state.address.ip,
        port=state.address.port,
        state="leaving" if state.is_leaving else "live",
        incarnation=state.incarnation,
        cheap=state.cheap,
    )


def _should_send(state: EndpointState, update) -> bool:
    """Returns whether an update must be sent to peers.

    This is the case if the weight version has risen or the load has changed to
    another power of two.
    """
    if update.weight_version > state.weight_version:
        return True
    return _load_level(update.load) != _load_level(state.reported_load)


def _load_level(load: float) -> int:
    """Quantizes a load to powers of two: the bit length of its integer part."""
    return int(max(0.0, load)).bit_length()


async def _repeat(interval_s: float, function: Callable) -> None:
    while True:
        await function()
        await anyio.sleep(interval_s)
