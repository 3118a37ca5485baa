"""What callers and servers saw, and which promises it breaks."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

__all__ = ["Ledger"]

_OK = 200
# These answers promise that the request has not run and never will.
_NOT_RUN = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(slots=True)
class _Sent:
    """A request of a caller; its status is 0 while no answer has come."""

    path: str
    is_repeatable: bool
    status: int = 0


class Ledger:
    """Collects what was seen; `violations` holds one line for each breach.

    Args:
        account: The client account whose requests may run.
    """

    def __init__(self, account: str):
        self._account = account
        self._sent: dict[str, _Sent] = {}
        self._refused_keys: set[str] = set()
        self._items: dict[str, str] = {}
        self._rewards: set[str] = set()
        self._lots: dict[str, int] = {}
        self._listed: dict[str, list[dict]] = {}
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def lots(self) -> Mapping[str, int]:
        """Number of items of each accepted lot."""
        return self._lots

    def record_sent(
        self,
        request_id: str,
        path: str,
        *,
        is_repeatable: bool,
        has_key: bool = True,
    ) -> None:
        """Notes a request before it is sent."""
        self._sent[request_id] = _Sent(path, is_repeatable)
        if not has_key:
            self._refused_keys.add(request_id)

    def note_answer(
        self, request_id: str, status: int, told: object, *, is_stamped: bool
    ) -> None:
        """Notes an answer; `told` is its decoded content."""
        sent = self._sent[request_id]
        sent.status = status
        self.counts[f"status {status}"] += 1
        if status != _OK:
            return
        if not is_stamped or told != {"path": sent.path}:
            self._break(f"MIXED {request_id}: {sent.path} got {told!r}")

    def note_lot(self, lot_id: str, item_ids: Iterable[str]) -> None:
        """Notes a lot before it is handed in."""
        for item_id in item_ids:
            self._items[item_id] = lot_id
            self._rewards.add(f"{item_id}-r")

    def note_accepted(self, lot_id: str) -> None:
        """Notes that a lot was accepted."""
        total = sum(lot == lot_id for lot in self._items.values())
        self._lots[lot_id] = total
        self.counts["lots"] += 1

    def note_results(
        self, daemon: str, lot_id: str, after: int, results: Sequence[dict]
    ) -> None:
        """Compares what a daemon lists with what was listed before."""
        known = self._listed.setdefault(lot_id, [])
        shared = known[after : after + len(results)]
        if list(results[: len(shared)]) != shared:
            self._break(f"ORDER {lot_id}: a position changed at {daemon}")
            return
        known += results[len(known) - after :]

    def listed(self, lot_id: str) -> int:
        """Returns how many results of a lot were read."""
        return len(self._listed.get(lot_id, ()))

    def note_missing(self, daemon: str, lot_id: str, status: int) -> None:
        """Notes a read of an accepted lot that found nothing."""
        self._break(f"LOST {lot_id}: {daemon} answers {status}")

    def check_texts(self, events: int) -> None:
        """Checks lots that were read whole: each item once, its own text."""
        for lot_id, total in self._lots.items():
            listed = self._listed.get(lot_id, [])
            ids = [result["id"] for result in listed]
            if len(set(ids)) != len(ids):
                self._break(f"ORDER {lot_id}: an item is listed twice")
            if len(ids) != total:
                self._break(f"LOST {lot_id}: {len(ids)} of {total} listed")
            for result in listed:
                self._check_text(lot_id, result, events)

    def _check_text(self, lot_id: str, result: dict, events: int) -> None:
        if self._items.get(result["id"]) != lot_id:
            self._break(f"MIXED {lot_id}: lists {result['id']}")
        if result["state"] != "completed":
            return
        whole = "\n".join(f"{result['id']}-{n}" for n in range(1, events + 1))
        if result["text"] != whole:
            self._break(f"ORDER {result['id']}: text {result['text']!r}")

    def check_runs(self, runs: Iterable[dict]) -> None:
        """Checks what ran at the servers against what was asked for."""
        times: collections.Counter[str] = collections.Counter()
        for run in runs:
            run_id = run["id"]
            times[run_id] += 1
            is_known = (
                run_id in self._sent
                or run_id in self._items
                or run_id in self._rewards
            )
            if not is_known:
                self._break(f"UNASKED {run_id} ran")
            if run_id in self._refused_keys:
                self._break(f"ROUTE {run_id} ran without a key in force")
            if run["has_key"]:
                self._break(f"UNASKED {run_id}: a key was passed on")
            is_public = run_id in self._rewards
            if run["account"] != self._account and not is_public:
                self._break(f"UNASKED {run_id}: ran for {run['account']!r}")
        for request_id, sent in self._sent.items():
            self._check_times(request_id, sent, times[request_id])

    def _check_times(self, request_id: str, sent: _Sent, times: int) -> None:
        if sent.is_repeatable:
            return
        if times > 1:
            self._break(f"TWICE {request_id} ran {times} times")
        if times and sent.status in _NOT_RUN:
            self._break(f"REFUSED {request_id}: {sent.status}, but it ran")

    def check_usage(self, reports: Iterable[dict]) -> None:
        """Checks usage reports: one per window, one holder per number."""
        counts: dict[int, dict] = {}
        holders: dict[int, str] = {}
        for report in reports:
            window = report["window-id"]
            if counts.setdefault(window, report["counts"]) != report["counts"]:
                self._break(f"ONE window {window} was reported twice")
            fencing, holder = report["fencing"], report["holder"]
            if holders.setdefault(fencing, holder) != holder:
                self._break(f"ONE number {fencing} was used by two daemons")

    def note_not_back(self, daemon: str, what: str) -> None:
        """Notes a daemon that serves nothing after all has healed."""
        self._break(f"RECOVER {daemon}: {what}")

    def note_exit(self, daemon: str, code: int) -> None:
        """Notes a daemon that ended by itself."""
        self._break(f"FAULT {daemon} ended by itself with {code}")

    def note_still_runs(self, daemon: str) -> None:
        """Notes a daemon that outlived its grace time."""
        self._break(f"DRAIN {daemon}: still runs")

    def _break(self, line: str) -> None:
        self.violations.append(line)
