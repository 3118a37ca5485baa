"""Requests the samples of one lot from engines."""

import time

import anyio
import msgspec

from daisyhub.balancing import EndpointState, EndpointTable
from daisyhub.base import Balancer
from daisyhub.connections import (
    HttpClient,
    HttpResponse,
    RequestFailedError,
    RequestWithdrawnError,
)
from daisyhub.filters._forward import parse_endpoint_headers
from daisyhub.logs import get_logger
from daisyhub.rollouts import EngineResponse, Generate, LotSpec

__all__ = ["LotEngines"]

_OK = 200
_JSON = ((b"content-type", b"application/json"),)

log = get_logger("lots")


class _GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A generation request; `sample`, its index in the group, is the seed."""

    prompt: str
    max_tokens: int
    sample: int


class LotEngines:
    """Sends the generation requests of a lot's attempts, and cancels them.

    Args:
        spec: The lot's spec.
        table: The endpoints.
        balancer: Chooses an endpoint.
        http: Sends requests.
    """

    def __init__(
        self,
        spec: LotSpec,
        table: EndpointTable,
        balancer: Balancer,
        http: HttpClient,
    ):
        self._spec = spec
        self._table = table
        self._balancer = balancer
        self._http = http
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._endpoint_ids: dict[int, str] = {}

    def cancel(self, attempt: int) -> None:
        """Cancels an attempt and closes its connection."""
        scope = self._scopes.get(attempt)
        if scope is not None:
            scope.cancel()

    async def generate(self, action: Generate) -> EngineResponse | None:
        """Returns the complete response of an engine.

        Returns None if there is no endpoint, or if the attempt failed or was
        cancelled.
        """
        state = self._choose(action)
        if state is None:
            return None
        self._endpoint_ids[action.attempt] = state.endpoint_id
        try:
            with anyio.CancelScope() as scope:
                self._scopes[action.attempt] = scope
                return await self._request(action, state)
        finally:
            del self._scopes[action.attempt]
            del self._endpoint_ids[action.attempt]
        return None

    def _choose(self, action: Generate) -> EndpointState | None:
        """Returns an engine for an attempt; None if there is no endpoint.

        Engines that run another attempt of the same sample are chosen only if
        there is no other.
        """
        now_s = time.monotonic()
        used = frozenset(
            self._endpoint_ids[other]
            for other in action.others
            if other in self._endpoint_ids
        )
        pool = self._spec.pool
        candidates = self._table.candidates(pool, now_s, used)
        candidates = candidates or self._table.candidates(pool, now_s)
        endpoint_id = self._balancer.choose(candidates)
        return self._table.get(endpoint_id) if endpoint_id else None

    async def _request(
        self, action: Generate, state: EndpointState
    ) -> EngineResponse | None:
        body = _GenerateRequest(
            prompt=self._spec.prompts[action.group],
            max_tokens=self._spec.max_tokens,
            sample=action.index,
        )
        has_failed = False
        self._table.record_sent(state.endpoint_id)
        try:
            response = await self._http.request(
                "POST",
                state.address,
                "/generate",
                headers=_JSON,
                body=msgspec.json.encode(body),
                timeout_s=self._spec.sample_timeout_s,
                may_send=lambda: self._table.may_send_to(state),
            )
            has_failed = response.status != _OK
        except RequestWithdrawnError as exc:
            log.debug("generation request not sent: {}", exc)
            return None
        except RequestFailedError as exc:
            log.debug("generation request failed: {}", exc)
            has_failed = True
            self._http.drop_idle_connections(state.address)
            return None
        finally:
            self._table.record_done(
                state.endpoint_id, failed=has_failed, now_s=time.monotonic()
            )
        self._table.apply_update(
            parse_endpoint_headers(state, response.headers)
        )
        return None if has_failed else _decode(response)


def _decode(response: HttpResponse) -> EngineResponse | None:
    try:
        return msgspec.json.decode(response.body, type=EngineResponse)
    except msgspec.DecodeError as exc:
        log.warning("an engine's response is invalid: {}", exc)
        return None
