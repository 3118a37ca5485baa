"""Reads the bodies of items that are about to start from the store."""

import dataclasses
import time
from collections.abc import Callable

import anyio
import msgspec

from daisyhub.lots._dispatch_core import DispatchCore
from daisyhub.lots._holder_types import LotHolderDependencies
from daisyhub.lots._run_types import BodiesRead
from daisyhub.objects import ObjectStoreError

__all__ = ["BodyReader"]

# Seconds between checks for bodies that are needed: two events of a run.
_CHECK_INTERVAL_S = 0.1
# Maximum number of parts that are read at the same time. Each takes some
# megabytes while it is decoded.
_MAX_READS = 4
# Seconds before a failed read is retried; they double with each further failure
# up to the maximum.
_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _Retry:
    """When a part that couldn't be read is read again."""

    at_s: float
    delay_s: float


class BodyReader:
    """Keeps the bodies in memory that are needed next.

    Args:
        deps: The objects that the holder depends on.
        core: Returns the dispatch core, which knows what is needed.
        deliver: Takes items that were read.
    """

    def __init__(
        self,
        deps: LotHolderDependencies,
        core: Callable[[], DispatchCore],
        deliver: Callable[[BodiesRead], None],
    ):
        self._deps = deps
        self._core = core
        self._deliver = deliver

    async def run(self) -> None:
        """Reads what is needed until cancelled."""
        reading: set[tuple[str, int]] = set()
        retries: dict[tuple[str, int], _Retry] = {}
        ended = anyio.Event()

        async def read(key: tuple[str, int], item_ids: set[str]) -> None:
            try:
                await self._read(key, item_ids)
            except (ObjectStoreError, msgspec.DecodeError) as exc:
                self._deps.log.record(
                    "bodies_not_read",
                    lot=key[0],
                    part=key[1],
                    items=len(item_ids),
                    reason=str(exc),
                )
                retries[key] = _next_retry(retries.get(key))
            else:
                retries.pop(key, None)
            reading.discard(key)
            ended.set()

        async with anyio.create_task_group() as tasks:
            while True:
                wanted = self._wanted()
                retries = {k: r for k, r in retries.items() if k in wanted}
                now_s = time.monotonic()
                for key, item_ids in wanted.items():
                    if len(reading) >= _MAX_READS:
                        break
                    is_delayed = key in retries and now_s < retries[key].at_s
                    if key not in reading and not is_delayed:
                        reading.add(key)
                        tasks.start_soon(read, key, item_ids)
                ended = anyio.Event()
                with anyio.move_on_after(_CHECK_INTERVAL_S):
                    await ended.wait()

    def _wanted(self) -> dict[tuple[str, int], set[str]]:
        """Returns the items to read by lot and part, in the order of need."""
        wanted: dict[tuple[str, int], set[str]] = {}
        limit = self._deps.memory_bytes
        plan = self._core().plan_bodies(limit, time.monotonic())
        for need in plan.reads:
            key = (need.lot_id, need.part)
            wanted.setdefault(key, set()).add(need.item_id)
        return wanted

    async def _read(self, key: tuple[str, int], item_ids: set[str]) -> None:
        lot_id, part = key
        head = self._core().head_of(lot_id)
        if head is None:
            return
        items = await self._deps.lots.items.part(head, part)
        found = tuple(item for item in items if item.item_id in item_ids)
        self._deliver(BodiesRead(head, found))


def _next_retry(earlier: _Retry | None) -> _Retry:
    delay_s = _RETRY_DELAY_S
    if earlier is not None:
        delay_s = min(2 * earlier.delay_s, _MAX_RETRY_DELAY_S)
    return _Retry(time.monotonic() + delay_s, delay_s)
