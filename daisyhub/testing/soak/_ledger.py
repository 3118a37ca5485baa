"""Records requests, responses and runs, and checks the daemons' guarantees."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from daisyhub.testing.soak._submissions import (
    NOT_RUN_STATUSES,
    Attempt,
    Submissions,
)

__all__ = ["Ledger"]

_OK = 200


@dataclasses.dataclass(slots=True)
class _SentRequest:
    """A sent request; its status is 0 until a response is received."""

    path: str
    is_idempotent: bool
    status: int = 0


class Ledger:
    """Records the events of a soak and checks them against the guarantees.

    The codes of violations are:

    - MIXED: A response or a result belongs to another request or lot.
    - ORDER: A lot's listing changed, or lists an item twice or a wrong text;
      or a text or stream has events of two software versions, or none.
    - LOST: An accepted lot or one of its results is missing.
    - UNASKED: A run without a request, for another account or with an API key.
    - ROUTE: A run of a request without a valid key.
    - TWICE: A non-idempotent request ran more than once.
    - REFUSED: A non-idempotent request ran although its status guarantees that
      it didn't, or a part of a lot did although the status of every attempt to
      submit it guarantees that.
    - STORED: An attempt to submit a lot got such a status although it stored
      the lot, or the lot was stored before.
    - ONE: Two different counts of a usage window, or two holders of a fencing
      number.
    - RECOVER: A daemon doesn't serve after the disturbances have ended.
    - FAULT: A daemon exited by itself.
    - DRAIN: A daemon didn't exit within the shutdown timeout, or a server got
      a request long after it had left.

    Args:
        account: The client account whose requests may run.

    Attributes:
        violations: One line per violated guarantee; it begins with the
            guarantee's code.
        counts: Numbers of responses by status, of accepted lots, and of
            disturbances by kind.
    """

    def __init__(self, account: str):
        self._account = account
        self._requests: dict[str, _SentRequest] = {}
        self._unauthorized_ids: set[str] = set()
        self._submissions = Submissions()
        self._lot_by_item: dict[str, str] = {}
        self._reward_ids: set[str] = set()
        self._item_counts: dict[str, int] = {}
        self._results: dict[str, list[dict]] = {}
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def lots(self) -> Mapping[str, int]:
        """Number of items of each accepted lot."""
        return self._item_counts

    def record_sent(
        self,
        request_id: str,
        path: str,
        *,
        is_idempotent: bool,
        has_valid_key: bool = True,
    ) -> None:
        """Records a request before it is sent."""
        self._requests[request_id] = _SentRequest(path, is_idempotent)
        if not has_valid_key:
            self._unauthorized_ids.add(request_id)

    def record_response(
        self, request_id: str, status: int, body: object, *, is_stamped: bool
    ) -> None:
        """Records a response and checks that it belongs to the request.

        Args:
            request_id: Id of the request.
            status: Status of the response; 0 if there was none.
            body: The decoded body; None if it isn't JSON or not a success.
            is_stamped: Whether the response carries the stamp of a server.
        """
        sent = self._requests[request_id]
        sent.status = status
        self.counts[f"status {status}"] += 1
        if status != _OK:
            return
        if not is_stamped or body != {"path": sent.path}:
            self._add_violation(f"MIXED {request_id}: {sent.path} got {body!r}")

    def record_submitted_lot(
        self, lot_id: str, item_ids: Iterable[str]
    ) -> None:
        """Records a lot before it is submitted."""
        ids = set(item_ids)
        # The ids of the items' scorer requests in `Fleet.build_lot`.
        reward_ids = {f"{item_id}-r" for item_id in ids}
        self._lot_by_item.update(dict.fromkeys(ids, lot_id))
        self._reward_ids |= reward_ids
        self._submissions.add_lot(lot_id, ids | reward_ids)

    def record_attempt(self, lot_id: str, daemon: str) -> Attempt:
        """Records an attempt to submit a lot before it is sent."""
        return self._submissions.add_attempt(lot_id, daemon)

    def record_answer(
        self, attempt: Attempt, status: int, code: str = ""
    ) -> None:
        """Records the response to an attempt to submit a lot.

        Args:
            attempt: The attempt.
            status: Status of the response; 0 if there was none.
            code: The daemon's code of a refusal.
        """
        self._submissions.end_attempt(attempt, status, code)
        self.counts[f"lot status {status}"] += 1

    def unaccepted_lots(self) -> list[str]:
        """Returns the lots of which no attempt was answered with 202."""
        return self._submissions.unaccepted_lots()

    def record_readable_lot(self, lot_id: str) -> None:
        """Records that a daemon served a read of a lot."""
        self._submissions.set_readable(lot_id)

    def record_accepted_lot(self, lot_id: str) -> None:
        """Records that a lot was accepted."""
        total = sum(lot == lot_id for lot in self._lot_by_item.values())
        self._item_counts[lot_id] = total
        self.counts["lots"] += 1

    def record_results(
        self, daemon: str, lot_id: str, after: int, results: Sequence[dict]
    ) -> None:
        """Compares results with earlier listings and records new ones.

        Args:
            daemon: Name of the daemon that listed them.
            lot_id: Id of the lot.
            after: Number of results of the lot before these.
            results: The results.
        """
        known = self._results.setdefault(lot_id, [])
        overlap = known[after : after + len(results)]
        if list(results[: len(overlap)]) != overlap:
            self._add_violation(
                f"ORDER {lot_id}: a position changed at {daemon}"
            )
            return
        known += results[len(known) - after :]

    def result_count(self, lot_id: str) -> int:
        """Returns the number of results of a lot read so far."""
        return len(self._results.get(lot_id, ()))

    def record_missing_lot(self, daemon: str, lot_id: str, status: int) -> None:
        """Records that a daemon doesn't know an accepted lot."""
        self._add_violation(f"LOST {lot_id}: {daemon} responds {status}")

    def record_unlisted_result(
        self, daemon: str, lot_id: str, position: int
    ) -> None:
        """Records that a daemon doesn't list a lot from a position on."""
        self._add_violation(f"LOST {lot_id}: nothing at {position} at {daemon}")

    def check_texts(self, events: int) -> None:
        """Checks that each lot lists every item once.

        A completed item must have its own text.

        Args:
            events: Number of events, which are lines of the text, per item.
        """
        for lot_id, total in self._item_counts.items():
            results = self._results.get(lot_id, [])
            ids = [result["id"] for result in results]
            if len(set(ids)) != len(ids):
                self._add_violation(f"ORDER {lot_id}: an item is listed twice")
            if len(ids) != total:
                self._add_violation(
                    f"LOST {lot_id}: {len(ids)} of {total} listed"
                )
            for result in results:
                self._check_text(lot_id, result, events)

    def _check_text(self, lot_id: str, result: dict, events: int) -> None:
        if self._lot_by_item.get(result["id"]) != lot_id:
            self._add_violation(f"MIXED {lot_id}: lists {result['id']}")
        if result["state"] != "completed":
            return
        lines = result["text"].split("\n")
        if len(lines) != events or not _is_one_text(result["id"], lines):
            self._add_violation(
                f"ORDER {result['id']}: text {result['text']!r}"
            )

    def record_stream(
        self, name: str, events: Sequence[str], *, is_whole: bool
    ) -> None:
        """Records the events that a caller has of a stream, and checks them."""
        self.counts["streams read" if is_whole else "streams given up"] += 1
        if events and not _is_one_text(name, events):
            self._add_violation(f"ORDER {name}: events {list(events)!r}")

    def record_broken_stream(self, name: str, reason: str) -> None:
        """Records that an event of a stream is missing or came twice."""
        self._add_violation(f"ORDER {name}: {reason}")

    def check_submissions(
        self, runs: Iterable[dict], created_s: Mapping[str, float]
    ) -> None:
        """Checks the promises of the responses to submissions of lots.

        Args:
            runs: The requests that servers ran.
            created_s: Time at which the store created each lot, by id.
        """
        self.violations += self._submissions.check(runs, created_s)

    def check_runs(self, runs: Iterable[dict]) -> None:
        """Checks the requests that servers ran against those that were sent."""
        run_counts: collections.Counter[str] = collections.Counter()
        for run in runs:
            run_id = run["id"]
            run_counts[run_id] += 1
            is_known = (
                run_id in self._requests
                or run_id in self._lot_by_item
                or run_id in self._reward_ids
            )
            if not is_known:
                self._add_violation(f"UNASKED {run_id} ran")
            if run_id in self._unauthorized_ids:
                self._add_violation(f"ROUTE {run_id} ran without a valid key")
            if run["has_key"]:
                self._add_violation(
                    f"UNASKED {run_id}: an API key was forwarded"
                )
            # A daemon sends reward calls without an account.
            is_reward_call = run_id in self._reward_ids
            if run["account"] != self._account and not is_reward_call:
                self._add_violation(
                    f"UNASKED {run_id}: ran for {run['account']!r}"
                )
        for request_id, sent in self._requests.items():
            self._check_run_count(request_id, sent, run_counts[request_id])

    def _check_run_count(
        self, request_id: str, sent: _SentRequest, run_count: int
    ) -> None:
        if sent.is_idempotent:
            return
        if run_count > 1:
            self._add_violation(f"TWICE {request_id} ran {run_count} times")
        if run_count and sent.status in NOT_RUN_STATUSES:
            self._add_violation(
                f"REFUSED {request_id}: {sent.status}, but it ran"
            )

    def check_usage(self, reports: Iterable[dict]) -> None:
        """Checks usage reports.

        All reports of a window must have the same counts, and all reports
        with a fencing number the same holder.
        """
        counts: dict[int, dict] = {}
        holders: dict[int, str] = {}
        for report in reports:
            window = report["window-id"]
            if counts.setdefault(window, report["counts"]) != report["counts"]:
                self._add_violation(
                    f"ONE window {window} was reported with different counts"
                )
            fencing, holder = report["fencing"], report["holder"]
            if holders.setdefault(fencing, holder) != holder:
                self._add_violation(
                    f"ONE fencing number {fencing} was used by two daemons"
                )

    def record_failed_recovery(self, daemon: str, reason: str) -> None:
        """Records that a daemon doesn't serve after all faults have ended."""
        self._add_violation(f"RECOVER {daemon}: {reason}")

    def record_unexpected_exit(self, daemon: str, code: int) -> None:
        """Records that a daemon exited without a signal of the soak."""
        self._add_violation(f"FAULT {daemon} exited by itself with {code}")

    def record_missed_shutdown(self, daemon: str) -> None:
        """Records that a daemon still runs after its shutdown timeout."""
        self._add_violation(f"DRAIN {daemon}: still runs")

    def record_late_arrival(
        self, server: str, path: str, late_s: float, is_removed: bool
    ) -> None:
        """Records that a server got a request long after it had left.

        Args:
            server: Name of the server.
            path: Path of the request.
            late_s: Seconds from the departure to the request.
            is_removed: Whether the server's entry was removed, else draining.
        """
        state = "removed" if is_removed else "draining"
        self._add_violation(
            f"DRAIN {server}: {path} came {late_s:.3f} s after it was {state}"
        )

    def _add_violation(self, line: str) -> None:
        self.violations.append(line)


def _is_one_text(name: str, lines: Sequence[str]) -> bool:
    """Whether lines are the text of that name by one software version.

    Versions other than `v1` mark each line, see `fake_fleet`.
    """
    parts = [line.partition("@") for line in lines]
    is_in_order = [text for text, _, _ in parts] == [
        f"{name}-{n}" for n in range(1, len(lines) + 1)
    ]
    return is_in_order and len({version for _, _, version in parts}) == 1
