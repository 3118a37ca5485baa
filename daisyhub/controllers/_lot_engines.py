"""Asks engines for the samples of one lot."""

import time

import anyio
import msgspec

from daisyhub.balancing import EndpointState, EndpointTable
from daisyhub.base import Balancer
from daisyhub.connections import HttpClient, HttpResponse, RequestFailedError
from daisyhub.filters._forward import parse_endpoint_headers
from daisyhub.logs import get_logger
from daisyhub.rollouts import EngineResponse, Generate, LotSpec

__all__ = ["LotEngines"]

_OK = 200
_JSON = ((b"content-type", b"application/json"),)

log = get_logger("lots")


class _EnginePrompt(msgspec.Struct, frozen=True, kw_only=True):
    """A generation request; `sample` seeds the sample."""

    prompt: str
    max_tokens: int
    sample: int


class LotEngines:
    """Sends a lot's attempts to engines and cancels them.

    Args:
        spec: The lot.
        table: The endpoints.
        balancer: Chooses among them.
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
        self._endpoints: dict[int, str] = {}

    def cancel(self, attempt: int) -> None:
        """Gives an attempt up and closes its connection."""
        scope = self._scopes.get(attempt)
        if scope is not None:
            scope.cancel()

    async def generate(self, action: Generate) -> EngineResponse | None:
        """Returns an engine's whole answer, or None."""
        state = self._choose(action)
        if state is None:
            return None
        self._endpoints[action.attempt] = state.endpoint_id
        try:
            with anyio.CancelScope() as scope:
                self._scopes[action.attempt] = scope
                return await self._ask(action, state)
        finally:
            del self._scopes[action.attempt]
            del self._endpoints[action.attempt]
        return None

    def _choose(self, action: Generate) -> EndpointState | None:
        """Chooses an engine that has no other attempt for the sample."""
        now_s = time.monotonic()
        used = frozenset(
            self._endpoints[other]
            for other in action.others
            if other in self._endpoints
        )
        pool = self._spec.pool
        found = self._table.candidates(pool, now_s, used)
        found = found or self._table.candidates(pool, now_s)
        endpoint_id = self._balancer.choose(found)
        return self._table.get(endpoint_id) if endpoint_id else None

    async def _ask(
        self, action: Generate, state: EndpointState
    ) -> EngineResponse | None:
        prompt = _EnginePrompt(
            prompt=self._spec.prompts[action.group],
            max_tokens=self._spec.max_tokens,
            sample=action.index,
        )
        has_failed = False
        self._table.record_sent(state.endpoint_id)
        try:
            answer = await self._http.request(
                "POST",
                state.address,
                "/generate",
                headers=_JSON,
                body=msgspec.json.encode(prompt),
                timeout_s=self._spec.sample_timeout_s,
            )
            has_failed = answer.status != _OK
        except RequestFailedError as exc:
            log.debug("generation failed: {}", exc)
            has_failed = True
            self._http.drop_idle_connections(state.address)
            return None
        finally:
            self._table.record_done(
                state.endpoint_id, failed=has_failed, now_s=time.monotonic()
            )
        self._table.apply_update(parse_endpoint_headers(state, answer.headers))
        return None if has_failed else _decode(answer)


def _decode(answer: HttpResponse) -> EngineResponse | None:
    try:
        return msgspec.json.decode(answer.body, type=EngineResponse)
    except msgspec.DecodeError as exc:
        log.warning("an engine's answer is unreadable: {}", exc)
        return None
