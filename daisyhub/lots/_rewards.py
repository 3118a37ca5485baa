"""Makes the reward calls that score complete texts."""

import time
from collections.abc import Callable

from daisyhub.catalog import ManifestController
from daisyhub.cluster import RewardEnd, RewardOrder
from daisyhub.exceptions import ErrorCode, Refusal
from daisyhub.gateway import EndpointWire, Sender, SendTask
from daisyhub.logs import DecisionLog

__all__ = ["RewardCaller"]

# Upper limit in seconds of the timeout that a reward call's route sets.
_MAX_REWARD_TIMEOUT_S = 5.0
_SUCCESS = range(200, 300)


class RewardCaller:
    """Sends reward calls along the routes of their hosts and paths.

    Args:
        manifests: Provides the active manifest.
        sender: Sends the calls like any idempotent request.
        wire: Wire format of endpoints.
        log: Log of failures.
    """

    def __init__(
        self,
        manifests: ManifestController,
        sender: Sender,
        wire: EndpointWire,
        log: DecisionLog,
    ):
        self._manifests = manifests
        self._sender = sender
        self._wire = wire
        self._log = log

    async def request_score(
        self, order: RewardOrder, is_ordered: Callable[[], bool] = lambda: True
    ) -> RewardEnd:
        """Makes one reward call.

        It succeeds only if the response has a success status and the
        endpoint's proof, which is returned as the score.

        Args:
            order: The call.
            is_ordered: Whether the order is still in force; called before each
                attempt is sent.
        """
        manifest = self._manifests.manifest
        route = (
            manifest.find_route(order.host, order.path) if manifest else None
        )
        if route is None:
            return self._failed(order, "no route for its host and path")
        task = SendTask(
            request_id=order.request_id,
            route=route,
            method="POST",
            target=order.path,
            host=order.host,
            body=order.body,
            deadline_s=time.monotonic()
            + min(_MAX_REWARD_TIMEOUT_S, route.timeout_s),
            is_background=True,
            may_send=is_ordered,
        )
        try:
            resp = await self._sender.send(task)
        except Refusal as exc:
            return self._failed(order, exc.code)
        decoded = self._wire.read_response_head(resp.status, resp.headers)
        if resp.status not in _SUCCESS or not decoded.proof:
            is_endpoint_failure = resp.status == ErrorCode.INTERNAL.status
            reason = f"status {resp.status}"
            return self._failed(
                order, reason, is_endpoint_failure, route.max_attempts
            )
        return RewardEnd(
            task_id=order.task_id,
            score=decoded.proof,
            is_endpoint_failure=False,
            max_attempts=route.max_attempts,
        )

    def _failed(
        self,
        order: RewardOrder,
        reason: str,
        is_endpoint_failure: bool = False,
        max_attempts: int = 1,
    ) -> RewardEnd:
        self._log.record("reward_failed", id=order.item_id, reason=reason)
        return RewardEnd(
            task_id=order.task_id,
            score="",
            is_endpoint_failure=is_endpoint_failure,
            max_attempts=max_attempts,
        )
