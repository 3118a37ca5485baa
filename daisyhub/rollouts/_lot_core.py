"""One lot decided by a deterministic core.

A slot is (group, index). A pull is committed to the store before its samples
are handed over, so that a deposed holder can't deliver. A repeat of a pull
gets the same samples. If a new holder doesn't have them, the repeat tells
that the trainer never took them, and the groups are committed anew.
"""

import dataclasses

from daisyhub.base import Core
from daisyhub.rollouts._lot_types import (
    Group,
    LotSpec,
    LotState,
    PullRecord,
    Sample,
)

__all__ = [
    "CommitDone",
    "CommitPull",
    "Generate",
    "HandOver",
    "LotCore",
    "LotTick",
    "PullAcked",
    "PullAsked",
    "SampleFailed",
    "SampleReady",
]

_RETRY_PAUSE_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LotTick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class SampleReady:
    """Attempt `attempt` produced a sample with spans."""

    attempt: int
    sample: Sample


@dataclasses.dataclass(frozen=True, slots=True)
class SampleFailed:
    """Attempt `attempt` produced nothing that may be used."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PullAsked:
    """The trainer asks for groups; `until_s` ends its wait."""

    pull_id: str
    version: int
    max_groups: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PullAcked:
    """The trainer has taken the samples of a pull."""

    pull_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitDone:
    """The state that names this pull's groups is in the store."""

    pull_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Generate:
    """Action: ask an engine for one sample of a group's prompt."""

    attempt: int
    group: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitPull:
    """Action: write the core's `pulls`, then send `CommitDone`."""

    pull_id: str
    groups: tuple[Group, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Action: answer the pull; without groups nothing was ready."""

    pull_id: str
    groups: tuple[Group, ...]
    remaining: int


@dataclasses.dataclass(slots=True)
class _Slot:
    attempt: int = 0
    sample: Sample | None = None
    retry_at_s: float = 0.0

    @property
    def is_pending(self) -> bool:
        return self.sample is None and not self.attempt


class LotCore(Core):
    """Decides about one lot while its holder is in charge.

    Args:
        spec: What the lot consists of.
        state: The store's state at take-over.
    """

    def __init__(self, spec: LotSpec, state: LotState):
        self.spec = spec
        self.state = state
        self._pulls = dict(state.pulls)
        self._slots: dict[tuple[int, int], _Slot] = {}
        self._running: dict[int, tuple[int, int]] = {}
        self._attempts = 0
        self._kept: dict[str, tuple[Group, ...]] = {}
        self._asked: dict[str, PullAsked] = {}
        self._committing: str | None = None
        self._chosen: tuple[Group, ...] = ()
        self._taken: set[int] = set()
        self.dropped_samples = 0
        self._add_missing_slots()

    def _add_missing_slots(self) -> None:
        for record in self._pulls.values():
            self._taken.update(record.groups)
        for group in range(len(self.spec.prompts)):
            if group in self._taken:
                continue
            for index in range(self.spec.group_size):
                self._slots.setdefault((group, index), _Slot())

    @property
    def next_wakeup_s(self) -> float | None:
        """When a wait of a pull ends or a failed slot may be tried again."""
        times = [asked.until_s for asked in self._asked.values()]
        if len(self._running) < self.spec.concurrency:
            times += [
                s.retry_at_s for s in self._slots.values() if s.is_pending
            ]
        return min(times, default=None)

    @property
    def remaining(self) -> int:
        """Groups that no committed pull names."""
        return len(self.spec.prompts) - len(self._taken)

    @property
    def is_done(self) -> bool:
        """Whether every group was handed over and acknowledged."""
        return not self.remaining and all(
            record.is_acked for record in self._pulls.values()
        )

    @property
    def pulls(self) -> dict[str, PullRecord]:
        """The pulls committed so far."""
        return dict(self._pulls)

    def handle(self, event: object, now_s: float) -> list[object]:
        """Takes one lot event; returns lot actions."""
        actions = []
        match event:
            case LotTick():
                pass
            case SampleReady():
                self._on_ready(event)
            case SampleFailed():
                self._on_failed(event, now_s)
            case PullAsked():
                actions += self._on_asked(event)
            case PullAcked():
                self._on_acked(event)
            case CommitDone():
                actions += self._on_committed(event)
            case _:
                raise TypeError(f"not a lot event: {event!r}")
        actions += self._start_samples(now_s)
        actions += self._serve_pulls(now_s)
        return actions

    def _on_ready(self, event: SampleReady) -> None:
        place = self._running.pop(event.attempt, None)
        slot = self._slots.get(place)
        if slot is None or slot.attempt != event.attempt:
            return
        slot.attempt = 0
        slot.sample = event.sample

    def _on_failed(self, event: SampleFailed, now_s: float) -> None:
        place = self._running.pop(event.attempt, None)
        slot = self._slots.get(place)
        if slot is None or slot.attempt != event.attempt:
            return
        slot.attempt = 0
        slot.retry_at_s = now_s + _RETRY_PAUSE_S

    def _on_asked(self, event: PullAsked) -> list[object]:
        record = self._pulls.get(event.pull_id)
        if record is None or event.pull_id == self._committing:
            self._asked[event.pull_id] = event
            return []
        kept = self._kept.get(event.pull_id)
        oldest = event.version - self.spec.max_staleness
        if kept is not None and _oldest_version(kept) >= oldest:
            return [HandOver(event.pull_id, kept, self.remaining)]
        if record.is_acked:
            return [HandOver(event.pull_id, (), self.remaining)]
        # The samples died with an earlier holder, or are stale by now. The
        # trainer asks again, so it never took them.
        self._kept.pop(event.pull_id, None)
        del self._pulls[event.pull_id]
        self._taken.difference_update(record.groups)
        self._add_missing_slots()
        self._asked[event.pull_id] = event
        return []

    def _on_acked(self, event: PullAcked) -> None:
        record = self._pulls.get(event.pull_id)
        if record is None or event.pull_id == self._committing:
            return
        self._pulls[event.pull_id] = PullRecord(
            groups=record.groups, is_acked=True
        )
        self._kept.pop(event.pull_id, None)

    def _on_committed(self, event: CommitDone) -> list[object]:
        if event.pull_id != self._committing:
            return []
        self._committing = None
        self._kept[event.pull_id] = self._chosen
        self._asked.pop(event.pull_id, None)
        return [HandOver(event.pull_id, self._chosen, self.remaining)]

    def _start_samples(self, now_s: float) -> list[object]:
        actions = []
        for place, slot in self._slots.items():
            if len(self._running) >= self.spec.concurrency:
                break
            if not slot.is_pending or now_s < slot.retry_at_s:
                continue
            self._attempts += 1
            slot.attempt = self._attempts
            self._running[self._attempts] = place
            actions.append(Generate(self._attempts, *place))
        return actions

    def _serve_pulls(self, now_s: float) -> list[object]:
        actions = []
        for asked in list(self._asked.values()):
            if self._committing is not None:
                break
            ready = self._fresh_groups(asked)
            if ready:
                actions.append(self._commit(asked, ready))
            elif now_s >= asked.until_s or not self.remaining:
                del self._asked[asked.pull_id]
                actions.append(HandOver(asked.pull_id, (), self.remaining))
        return actions

    def _fresh_groups(self, asked: PullAsked) -> list[int]:
        """Returns whole groups within the staleness bound; drops the stale."""
        oldest = asked.version - self.spec.max_staleness
        ready = []
        for group in range(len(self.spec.prompts)):
            if len(ready) == asked.max_groups:
                break
            if group not in self._taken and self._is_fresh(group, oldest):
                ready.append(group)
        return ready

    def _is_fresh(self, group: int, oldest: int) -> bool:
        is_whole = True
        for index in range(self.spec.group_size):
            slot = self._slots[(group, index)]
            if slot.sample is None:
                is_whole = False
            elif slot.sample.oldest_version < oldest:
                slot.sample = None
                self.dropped_samples += 1
                is_whole = False
        return is_whole

    def _commit(self, asked: PullAsked, groups: list[int]) -> CommitPull:
        self._chosen = tuple(self._take_group(group) for group in groups)
        self._pulls[asked.pull_id] = PullRecord(groups=tuple(groups))
        self._taken.update(groups)
        self._committing = asked.pull_id
        return CommitPull(asked.pull_id, self._chosen)

    def _take_group(self, group: int) -> Group:
        places = [(group, index) for index in range(self.spec.group_size)]
        samples = tuple(self._slots.pop(place).sample for place in places)
        return Group(group=group, samples=samples)


def _oldest_version(groups: tuple[Group, ...]) -> int:
    return min(
        sample.oldest_version for group in groups for sample in group.samples
    )
