"""Serves trainer lots, or forwards calls to the daemon that holds them."""

import contextlib

import anyio
import msgspec

from daisyhub.base import Controller
from daisyhub.controllers._lot_calls import decode_body
from daisyhub.controllers._lot_server import LotServer, LotServerDependencies
from daisyhub.controllers._lot_specs import LotSpecStore
from daisyhub.exceptions import (
    ErrorCode,
    ExecutionStatus,
    PlatformUnavailableError,
    Refusal,
)
from daisyhub.hosting import LeaseRecord, PlatformObject
from daisyhub.logs import get_logger
from daisyhub.peers import (
    LotCallRequest,
    LotCallResponse,
    PeerNetwork,
    PeerUnreachableError,
)
from daisyhub.problems import problem_body
from daisyhub.rollouts import LotSpec, OpenBody

__all__ = ["LotController"]

# Longer than the maximum wait of a pull, 60 s.
_FORWARD_TIMEOUT_S = 65.0
# Time that a call waits for a lot server to acquire the lease.
_ACQUIRE_TIMEOUT_S = 2.0
_RETRY_AFTER_S = 1.0
_MAX_QUEUED_SERVERS = 1024
_MAX_KNOWN_HOLDERS = 4096

log = get_logger("lots")


class LotController(Controller):
    """Serves trainers' calls, here or through the holder of the lot.

    Args:
        dependencies: Passed to each lot server.
        network: Connections to the holders of other lots.
    """

    name = "lots"

    def __init__(
        self, dependencies: LotServerDependencies, network: PeerNetwork
    ):
        self._dependencies = dependencies
        self._network = network
        self._specs = LotSpecStore(dependencies.client)
        self._servers: dict[str, LotServer] = {}
        self._known_holders: dict[str, str] = {}
        self._is_released = False
        self._new_servers, self._servers_to_run = (
            anyio.create_memory_object_stream[LotServer](_MAX_QUEUED_SERVERS)
        )

    def status(self) -> dict[str, object]:
        """Returns the status of each lot served or being acquired here."""
        return {
            lot_id: server.status()
            for lot_id, server in sorted(self._servers.items())
        }

    async def run(self) -> None:
        """Runs lot servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for server in self._servers_to_run:
                tasks.start_soon(self._run_server, server)

    async def release(self) -> None:
        """Releases every lot at shutdown; pending calls end at once."""
        self._is_released = True
        async with anyio.create_task_group() as tasks:
            for server in list(self._servers.values()):
                tasks.start_soon(server.release)

    async def serve(self, call: LotCallRequest) -> LotCallResponse:
        """Serves a trainer's call here or at the lot's holder.

        Raises:
            Refusal: The call failed; the trainer receives this refusal.
        """
        is_forwarded = False
        try:
            server = self._servers.get(call.lot_id)
            if server is not None and server.is_serving:
                return await server.serve(call)
            daemon_id, lease = await self._find_other_holder(call.lot_id)
            if daemon_id:
                is_forwarded = True
                response = await self._forward(call, daemon_id, lease)
                if response is not None:
                    return response
            server = await self._get_or_start_server(call)
            return await self._serve_here(server, call)
        except PlatformUnavailableError as exc:
            # The lot may be open, or the call was forwarded and got no answer.
            raise Refusal(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the platform does not answer",
                ran=ExecutionStatus.UNKNOWN,
                retry_after_s=_RETRY_AFTER_S,
            ) from exc
        except Refusal as exc:
            if not is_forwarded or exc.ran is not ExecutionStatus.NOT_RUN:
                raise
            # The holder may have served the call without an answer.
            raise Refusal(
                exc.error,
                exc.detail,
                ran=ExecutionStatus.UNKNOWN,
                retry_after_s=exc.retry_after_s,
            ) from exc

    async def handle_forwarded_call(
        self, call: LotCallRequest
    ) -> LotCallResponse:
        """Serves a call that a peer forwarded; never forwards it again."""
        server = self._servers.get(call.lot_id)
        if server is None or not server.is_serving:
            return _elsewhere_response()
        try:
            return await server.serve(call)
        except Refusal as exc:
            if exc.error is ErrorCode.LOT_ELSEWHERE:
                return _elsewhere_response()
            return LotCallResponse(
                status=exc.error.status,
                body=problem_body(exc, call.lot_id),
                retry_after_s=exc.retry_after_s,
            )

    async def _serve_here(
        self, server: LotServer, call: LotCallRequest
    ) -> LotCallResponse:
        with anyio.move_on_after(_ACQUIRE_TIMEOUT_S):
            await server.ready.wait()
        if not server.is_serving:
            raise _takeover_refusal()
        return await server.serve(call)

    async def _find_other_holder(
        self, lot_id: str
    ) -> tuple[str, PlatformObject | None]:
        """Returns the daemon that holds a lot, and its lease.

        The daemon is empty if there is no holder or this daemon is it. While
        the platform is unavailable, the last known holder is returned, without
        a lease.
        """
        found = None
        try:
            found = await self._dependencies.client.get(f"leases/lots/{lot_id}")
            daemon_id = _holder_of(found)
        except PlatformUnavailableError:
            if lot_id not in self._known_holders:
                raise
            daemon_id = self._known_holders[lot_id]
        if not daemon_id or daemon_id == self._dependencies.cfg.daemon_id:
            return "", None
        self._record_holder(lot_id, daemon_id)
        return daemon_id, found

    async def _forward(
        self, call: LotCallRequest, daemon_id: str, lease: PlatformObject | None
    ) -> LotCallResponse | None:
        """Forwards a call to the lot's holder and returns the response.

        Returns None if the holder doesn't respond or no longer has the lot.
        """
        response = None
        async with anyio.create_task_group() as tasks:
            if lease is not None:
                tasks.start_soon(self._watch_lease, lease, tasks.cancel_scope)
            with contextlib.suppress(PeerUnreachableError):
                response = await self._network.call(
                    daemon_id, call, _FORWARD_TIMEOUT_S
                )
            tasks.cancel_scope.cancel()
        if response is None or response.is_elsewhere:
            return None
        return response

    def _record_holder(self, lot_id: str, daemon_id: str) -> None:
        if len(self._known_holders) >= _MAX_KNOWN_HOLDERS:
            self._known_holders.clear()
        self._known_holders[lot_id] = daemon_id

    async def _watch_lease(self, lease: PlatformObject, scope) -> None:
        """Cancels `scope` if a lease is gone or isn't renewed for a term."""
        timing = self._dependencies.cfg.timing
        version = lease.version
        while True:
            await anyio.sleep(timing.lease_term_s + timing.lease_margin_s)
            with contextlib.suppress(PlatformUnavailableError):
                found = await self._dependencies.client.get(lease.key)
                if found is None or found.version == version:
                    scope.cancel()
                    return
                version = found.version

    async def _get_or_start_server(self, call: LotCallRequest) -> LotServer:
        """Returns the server of the call's lot; starts one if there is none.

        Raises:
            Refusal: The account has no such lot, the body of an open call is
                invalid, or this daemon is shutting down.
        """
        spec = await self._find_spec(call)
        if spec.account != call.account:
            raise _unknown_lot_refusal()
        if self._is_released:
            raise _takeover_refusal()
        server = self._servers.get(call.lot_id)
        if server is None:
            server = LotServer(spec, self._dependencies)
            self._servers[call.lot_id] = server
            await self._new_servers.send(server)
        return server

    async def _find_spec(self, call: LotCallRequest) -> LotSpec:
        """Returns the stored spec; an open call creates it if there is none."""
        spec = await self._specs.find(call.lot_id)
        if spec is not None:
            return spec
        if call.verb != "open":
            raise _unknown_lot_refusal()
        return await self._specs.create(self._new_spec(call))

    def _new_spec(self, call: LotCallRequest) -> LotSpec:
        body = decode_body(call.body, OpenBody)
        lots = self._dependencies.config.document.trainer_lots
        lot_class = lots.get(body.lot_class)
        if lot_class is None or lot_class.account != call.account:
            raise _unknown_lot_refusal()
        return LotSpec(
            lot_id=call.lot_id,
            lot_class=body.lot_class,
            account=lot_class.account,
            pool=lot_class.pool,
            prompts=body.prompts,
            group_size=lot_class.group_size,
            max_staleness=lot_class.max_staleness,
            max_tokens=lot_class.max_tokens,
            concurrency=lot_class.concurrency,
            spare_samples=lot_class.spare_samples,
            sample_timeout_s=lot_class.sample_timeout_s,
        )

    async def _run_server(self, server: LotServer) -> None:
        try:
            await server.run()
        finally:
            if self._servers.get(server.spec.lot_id) is server:
                del self._servers[server.spec.lot_id]


def _holder_of(found: PlatformObject | None) -> str:
    """Returns the daemon id of a lease's holder; empty if there is none."""
    if found is None:
        return ""
    # The id of a holder is `daemon id/incarnation`.
    holder = msgspec.convert(found.value, LeaseRecord).holder
    return holder.partition("/")[0]


def _unknown_lot_refusal() -> Refusal:
    return Refusal(
        ErrorCode.LOT_UNKNOWN,
        "there is no such lot",
        ran=ExecutionStatus.NOT_RUN,
    )


def _takeover_refusal() -> Refusal:
    """Returns the refusal of a call that an earlier holder may have served."""
    return Refusal(
        ErrorCode.LOT_ELSEWHERE,
        "the lot is being taken over",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _elsewhere_response() -> LotCallResponse:
    return LotCallResponse(
        status=ErrorCode.LOT_ELSEWHERE.status, body=b"", is_elsewhere=True
    )
