"""Runs lease cores against the platform's store."""

import contextlib
import hashlib
from collections.abc import Callable, Iterable

import anyio
import msgspec

from daisyhub.clocks import boot_time_s
from daisyhub.exceptions import (
    PlatformConflictError,
    PlatformUnavailableError,
)
from daisyhub.hosting._client import PlatformClient
from daisyhub.hosting._lease import (
    LeaseCore,
    LeaseRead,
    LeaseRecord,
    LeaseTick,
    LeaseWriteFailed,
    LeaseWriteRejected,
    LeaseWritten,
    ReadLease,
    WriteLease,
)
from daisyhub.settings import TimingSettings

__all__ = ["Lease", "LeaseFactory", "rank_candidates"]

_LEASE_PREFIX = "leases/"
_RELEASE_TIMEOUT_S = 2.0


CandidateRule = Callable[[str], bool]


class Lease:
    """A lease that this process acquires and renews.

    Args:
        name: Name of the lease in the store.
        core: Decides when to read and to write.
        client: Client of the platform.
        is_candidate: Returns whether this process should try to acquire the
            lease of the given name.
    """

    def __init__(
        self,
        name: str,
        core: LeaseCore,
        client: PlatformClient,
        is_candidate: CandidateRule,
    ):
        self.name = name
        self._core = core
        self._client = client
        self._is_candidate = is_candidate

    @property
    def fencing(self) -> int:
        """The fencing number; 0 if the lease may have expired."""
        return self._core.fencing_if_held(boot_time_s())

    def fencing_with_margin(self, extra_margin_s: float) -> int:
        """Returns `fencing`, or 0 if less than `extra_margin_s` remains."""
        return self._core.fencing_if_held(boot_time_s(), extra_margin_s)

    @property
    def observed_holder(self) -> str:
        """Id of the last observed holder; empty if unknown."""
        return self._core.observed_holder

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled or released."""
        while self._core.next_wakeup_s is not None:
            delay_s = self._core.next_wakeup_s - boot_time_s()
            await anyio.sleep(max(0.0, delay_s))
            await self._feed(LeaseTick(self._is_candidate(self.name)))

    async def release(self) -> None:
        """Releases the lease; a failure to store the release is ignored."""
        self._core.release()
        with (
            anyio.move_on_after(_RELEASE_TIMEOUT_S, shield=True),
            contextlib.suppress(PlatformUnavailableError),
        ):
            await self._feed(LeaseTick())

    async def _feed(self, event: object) -> None:
        actions = self._core.handle(event, boot_time_s())
        while actions:
            event = await self._perform(actions[0])
            actions = self._core.handle(event, boot_time_s())

    async def _perform(self, action: object) -> object:
        key = _LEASE_PREFIX + self.name
        try:
            match action:
                case ReadLease():
                    return await self._read(key)
                case WriteLease():
                    return await self._write(key, action)
        except PlatformUnavailableError:
            return LeaseWriteFailed(getattr(action, "write_id", 0))
        raise TypeError(f"not a lease action: {action!r}")

    async def _read(self, key: str) -> LeaseRead:
        found = await self._client.get(key)
        if found is None:
            return LeaseRead(None, 0)
        record = msgspec.convert(found.value, LeaseRecord)
        return LeaseRead(record, found.version)

    async def _write(self, key: str, action: WriteLease) -> object:
        try:
            version = await self._client.put(
                key,
                msgspec.to_builtins(action.record),
                expected_version=action.expected_version,
                write_id=f"{self._core.holder}.{action.write_id}",
            )
        except PlatformConflictError:
            return LeaseWriteRejected(action.write_id)
        return LeaseWritten(action.write_id, version)


class LeaseFactory:
    """Creates leases for one process.

    Args:
        client: Client of the platform.
        holder: Id of this process; must change with each restart.
        timing: Term and margin of the leases.
    """

    def __init__(
        self, client: PlatformClient, holder: str, timing: TimingSettings
    ):
        self._client = client
        self._holder = holder
        self._timing = timing
        self._candidate_rule: CandidateRule = _is_always_candidate

    def set_candidate_rule(self, rule: CandidateRule) -> None:
        """Sets the rule that returns whether to try to acquire a duty.

        It also applies to duty leases that exist already.
        """
        self._candidate_rule = rule

    def new_lease(self, name: str) -> Lease:
        """Returns a lease that this process always tries to acquire."""
        return Lease(name, self._new_core(), self._client, _is_always_candidate)

    def new_duty_lease(self, name: str) -> Lease:
        """Returns the lease of a duty, which only candidates try to acquire."""

        def is_candidate(duty: str) -> bool:
            return self._candidate_rule(duty)

        return Lease(name, self._new_core(), self._client, is_candidate)

    def _new_core(self) -> LeaseCore:
        return LeaseCore(
            self._holder, self._timing.lease_term_s, self._timing.lease_margin_s
        )


def _is_always_candidate(_: str) -> bool:
    return True


def rank_candidates(duty: str, daemons: Iterable[str]) -> list[str]:
    """Returns the daemons in order of preference for a duty.

    Rendezvous hashing distributes duties evenly, and reassigns few of them
    when a daemon joins or leaves.
    """

    def weight(daemon_id: str) -> bytes:
        text = f"{duty}\0{daemon_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(daemons, key=weight, reverse=True)
