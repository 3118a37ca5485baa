"""What is known of items that failed, across lots and holders.

The load: groups that weren't complete come again in later lots of their trainer
under the same ids. An item that fails at each run would take slots and servers'
time in each of them, for as long as its group comes again.
"""

import collections
import hashlib
from collections.abc import Callable, Mapping

import msgspec

from daisyhub.lots._types import ItemSpec, LotHead

__all__ = [
    "FailureRecord",
    "ItemFailures",
    "ItemIdentity",
    "digest_body",
    "identify_item",
]

# Multiple of `max_attempts` up to which an item runs again in later lots: the
# limit that the platform sets for answers of 500.
_MAX_FAILURES_PER_ATTEMPT = 3
# Maximum number of items whose failures are known, like that of cached texts.
_MAX_RECORDS = 2000
# Minimum interval in seconds between updates of a record's time.
_TOUCH_INTERVAL_S = 10.0
# Sizes in bytes of the digests of a body and of an identity.
_BODY_DIGEST_BYTES = 8
_KEY_BYTES = 12

# Account, model, item id and digest of the body.
ItemIdentity = tuple[str, str, str, bytes]


def digest_body(spec: ItemSpec) -> bytes:
    """Returns a digest that tells items of one id with other bodies apart."""
    return hashlib.blake2b(spec.body, digest_size=_BODY_DIGEST_BYTES).digest()


def identify_item(head: LotHead, item_id: str, digest: bytes) -> ItemIdentity:
    """Returns what an item has in common with itself in another lot.

    The ids of other accounts or models, or of other contents, name other items.
    """
    return (head.account, head.model, item_id, digest)


class FailureRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The failures of one item.

    Attributes:
        runs: Number of runs that failed in an engine, in all lots since the
            last one that didn't.
        rewards: Number of reward calls that failed in their endpoint.
        is_impossible: Whether an engine said that it can never be done.
        is_unscorable: Whether its reward calls failed too often.
        at_s: Cluster time of the last failure, or of the last lot that has it.
    """

    runs: int = 0
    rewards: int = 0
    is_impossible: bool = False
    is_unscorable: bool = False
    at_s: float = 0.0


class ItemFailures:
    """Counts the failures of items by identity.

    Args:
        clock: Returns the cluster's time in seconds.

    Attributes:
        version: Rises with each change that is to be stored.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._records: collections.OrderedDict[str, FailureRecord] = (
            collections.OrderedDict()
        )
        self.version = 0

    def __len__(self) -> int:
        return len(self._records)

    def add_run(self, item: ItemIdentity, max_attempts: int) -> bool:
        """Counts a failed run; returns whether the item is to be given up."""
        record = self._get(item)
        record = msgspec.structs.replace(record, runs=record.runs + 1)
        self._set(item, record)
        return record.runs >= _MAX_FAILURES_PER_ATTEMPT * max_attempts

    def add_reward(self, item: ItemIdentity, max_attempts: int) -> bool:
        """Counts a failed reward call; returns whether to give the item up."""
        record = self._get(item)
        rewards = record.rewards + 1
        is_unscorable = rewards >= _MAX_FAILURES_PER_ATTEMPT * max_attempts
        record = msgspec.structs.replace(
            record, rewards=rewards, is_unscorable=is_unscorable
        )
        self._set(item, record)
        return is_unscorable

    def add_impossible(self, item: ItemIdentity) -> None:
        """Records that an item can never be done."""
        record = self._get(item)
        self._set(item, msgspec.structs.replace(record, is_impossible=True))

    def remove_runs(self, item: ItemIdentity) -> None:
        """Forgets the failed runs of an item that was done after all."""
        record = self._get(item)
        if record.runs:
            self._set(item, msgspec.structs.replace(record, runs=0))

    def remove_rewards(self, item: ItemIdentity) -> None:
        """Forgets the failed reward calls of an item that has its score."""
        record = self._get(item)
        if record.rewards:
            record = msgspec.structs.replace(
                record, rewards=0, is_unscorable=False
            )
            self._set(item, record)

    def is_exhausted(self, item: ItemIdentity, max_attempts: int) -> bool:
        """Whether an item of a lot that was opened must not run again.

        A record that is still asked for is kept for as long as one of a new
        failure.
        """
        record = self._records.get(_encode(item)) if self._records else None
        if record is None:
            return False
        if self._clock() - record.at_s > _TOUCH_INTERVAL_S:
            self._set(item, record)
        limit = _MAX_FAILURES_PER_ATTEMPT * max_attempts
        return (
            record.is_impossible or record.is_unscorable or record.runs >= limit
        )

    def records(self) -> Mapping[str, FailureRecord]:
        """Returns a copy of all records, to be stored."""
        return dict(self._records)

    def merge(self, stored: Mapping[str, FailureRecord]) -> None:
        """Adds what another holder stored; the higher count is right."""
        for key, other in stored.items():
            own = self._records.get(key, FailureRecord())
            self._records[key] = FailureRecord(
                runs=max(own.runs, other.runs),
                rewards=max(own.rewards, other.rewards),
                is_impossible=own.is_impossible or other.is_impossible,
                is_unscorable=own.is_unscorable or other.is_unscorable,
                at_s=max(own.at_s, other.at_s),
            )
        self._drop_excess()

    def drop_older(self, at_s: float) -> None:
        """Drops records that are older than a time."""
        old = [key for key, r in self._records.items() if r.at_s < at_s]
        for key in old:
            del self._records[key]
        self.version += bool(old)

    def _get(self, item: ItemIdentity) -> FailureRecord:
        if not self._records:
            return FailureRecord()
        return self._records.get(_encode(item), FailureRecord())

    def _set(self, item: ItemIdentity, record: FailureRecord) -> None:
        key = _encode(item)
        record = msgspec.structs.replace(record, at_s=self._clock())
        self.version += 1
        if record == FailureRecord(at_s=record.at_s):
            self._records.pop(key, None)
            return
        self._records[key] = record
        self._records.move_to_end(key)
        self._drop_excess()

    def _drop_excess(self) -> None:
        while len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)


def _encode(item: ItemIdentity) -> str:
    """Returns a key of fixed size, since ids may be long."""
    digest = hashlib.blake2b(msgspec.json.encode(item), digest_size=_KEY_BYTES)
    return digest.hexdigest()
