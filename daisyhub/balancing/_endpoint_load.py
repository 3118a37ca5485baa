"""What an endpoint states about its load, and the pools where it matters."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

__all__ = ["AdaptiveMode", "AdaptivePools", "EndpointLoad"]


class AdaptiveMode:
    """Values of the setting `adaptive_scheduling`."""

    OFF = "off"
    AUTO = "auto"
    ON = "on"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load that an endpoint stated in a response.

    Attributes:
        running: Number of requests that it executes.
        waiting: Number of requests that wait there.
        slots: Number of requests that it executes concurrently.
        pace: How long work takes on its machine at this moment, relative to
            the usual time; None if it doesn't state that.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def open_requests(self) -> int:
        """Number of requests that run or wait there."""
        return self.running + self.waiting


class AdaptivePools:
    """The pools whose work isn't served well by declared slots and due times.

    With `AdaptiveMode.AUTO` these are the pools whose endpoints state a pace,
    since they share their machines, and the pools of engines that many trainers
    share. Only for them, capacity is measured, items are placed by expected
    completion, and lots are ordered by what their trainers lose.

    Args:
        mode: A value of `AdaptiveMode`.
        min_models: Number of models of a pool, one for each trainer, from which
            on it is adaptive.
        models: Returns the number of models by pool, as the manifest declares.
        on_stated: Called with a pool when its endpoints first state a pace.
    """

    def __init__(
        self,
        mode: str = AdaptiveMode.OFF,
        min_models: int = 0,
        models: Callable[[], Mapping[str, int]] = dict,
        on_stated: Callable[[str], None] = lambda _: None,
    ):
        self._mode = mode
        self._min_models = min_models
        self._models = models
        self._on_stated = on_stated
        self._stated: set[str] = set()

    def add_stated(self, pools: Iterable[str]) -> None:
        """Adds pools whose endpoints stated a pace, here or to a peer."""
        if self._mode != AdaptiveMode.AUTO:
            return
        for pool in set(pools) - self._stated:
            self._stated.add(pool)
            self._on_stated(pool)

    def stated(self) -> tuple[str, ...]:
        """Returns the pools whose endpoints stated a pace, ordered by name."""
        return tuple(sorted(self._stated))

    def is_adaptive(self, pool: str) -> bool:
        """Whether a pool is adaptive."""
        if self._mode != AdaptiveMode.AUTO:
            return self._mode == AdaptiveMode.ON
        return pool in self._stated or self._is_shared(
            self._models().get(pool, 0)
        )

    def has_any(self) -> bool:
        """Whether any pool is adaptive."""
        if self._mode != AdaptiveMode.AUTO:
            return self._mode == AdaptiveMode.ON
        return bool(self._stated) or any(
            self._is_shared(count) for count in self._models().values()
        )

    def _is_shared(self, model_count: int) -> bool:
        return 0 < self._min_models <= model_count
