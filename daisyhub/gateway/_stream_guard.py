"""Keeps each caller's stream at the release that began it."""

import time

from daisyhub.balancing import (
    UNCONDITIONAL,
    Confirmation,
    EndpointDirectory,
    EndpointEntry,
    ProcessCheck,
    Release,
    TrustedProcesses,
)
from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway._send_task import SendTask
from daisyhub.streams import StreamOrigins

__all__ = ["StreamGuard"]

# Seconds by which an origin outlives the deadline of its caller, as clocks and
# transfers differ.
_ORIGIN_MARGIN_S = 5.0
# Seconds after which a caller may ask again if daemons that may know its stream
# didn't answer: a few pings, after which they are known to be lost or are back.
_RETRY_AFTER_S = 0.8


class StreamGuard:
    """Finds the release that a stream must keep to, and records it.

    Args:
        origins: The releases that began streams.
        directory: Known endpoints and their releases.
        processes: Confirms processes before they go on with a stream.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        directory: EndpointDirectory,
        processes: ProcessCheck | None = None,
    ):
        self._origins = origins
        self._directory = directory
        self._processes = processes or TrustedProcesses()

    async def find_release(self, task: SendTask) -> Release | None:
        """Returns the release that must serve a request; None for any.

        Raises:
            Refusal: The request goes on with a stream whose release isn't
                known, or isn't allowed on its route any more.
        """
        if not task.is_streamed or task.resumption is None:
            return None
        first_id = task.resumption.first_request_id
        if not first_id:
            raise _make_refusal("it doesn't name the request that began it")
        search = await self._origins.find(_key(task.account, first_id))
        if search.origin is None and not search.is_conclusive:
            raise _make_refusal(
                "daemons that may know it did not answer", _RETRY_AFTER_S
            )
        if search.origin is None:
            raise _make_refusal(f"no daemon knows request {first_id!r}")
        release = search.origin.release
        if release is None:
            raise _make_refusal(f"two releases answered {first_id!r}")
        if release.pool not in {share.pool for share in task.route.shares}:
            raise _make_refusal(f"its route no longer has pool {release.pool}")
        return release

    def other_releases(self, release: Release | None) -> set[str]:
        """Returns the ids of the pool's endpoints of any other release."""
        if release is None:
            return set()
        return {
            endpoint.entry.endpoint_id
            for endpoint in self._directory.in_pools((release.pool,))
            if endpoint.entry.release != release
        }

    def may_serve(self, release: Release | None, entry: EndpointEntry) -> bool:
        """Whether an endpoint may serve a request that must keep to a release.

        Not if another process has its id since, whose release may differ.
        """
        if release is None:
            return True
        is_replaced = self._directory.is_replaced(entry)
        return entry.release == release and not is_replaced

    async def confirm(
        self, release: Release | None, entry: EndpointEntry
    ) -> Confirmation | None:
        """Confirms that an endpoint's process is of the release of its entry.

        Returns:
            A confirmation; None if it isn't of the release, or can't be
            confirmed. Without a release there is nothing to confirm.
        """
        if release is None:
            return UNCONDITIONAL
        return await self._processes.confirm(entry)

    def release_of(self, entry: EndpointEntry) -> Release | None:
        """Returns the release of a process that has answered.

        None if it isn't known, as another process has its id since.
        """
        return None if self._directory.is_replaced(entry) else entry.release

    async def record_begin(
        self, task: SendTask, release: Release | None
    ) -> None:
        """Records the release of a stream before its first event is sent.

        Without a record, the stream goes on but can't be resumed. The daemon
        that accepted the request records it: only that one knows which
        response its caller gets.
        """
        is_resumable = task.is_streamed and task.route.is_resumable
        if not is_resumable or release is None or task.is_relayed:
            return
        remaining_s = max(0.0, task.deadline_s - time.monotonic())
        await self._origins.record(
            _key(task.account, task.request_id),
            release,
            remaining_s + _ORIGIN_MARGIN_S,
        )


def _key(account: str, request_id: str) -> str:
    """Returns the key of a stream; accounts don't share streams."""
    return f"{account}|{request_id}"


def _make_refusal(reason: str, retry_after_s: float | None = None) -> Refusal:
    return Refusal(
        ErrorCode.STREAM_UNKNOWN,
        f"the stream can't be resumed: {reason}",
        ran=ExecutionStatus.NOT_RUN,
        retry_after_s=retry_after_s,
    )
