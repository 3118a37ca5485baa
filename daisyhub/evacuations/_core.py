"""Decides which failure domains are evacuated.

An operator who expects a failure domain to fail, or to be worked on, evacuates
it: its endpoints are sent nothing, while what runs there goes on to its end. An
evacuation lasts until its object is deleted. Daemons that lose their way to the
store keep to the evacuations that they know.

What is known of a domain are two revisions of the store, which only rise: the
newest at which its object was found, and the newest at which it was gone. So
daemons merge what they know in any order, and need no answer of the store.

Times are seconds on a monotonic clock.
"""

import dataclasses

from daisyhub.base import Core

__all__ = [
    "DomainsChanged",
    "EvacuationCore",
    "EvacuationTick",
    "EvacuationsLearned",
    "Revisions",
    "UnknownDomain",
]

# Revisions of the store at which an evacuation was found, and was gone.
Revisions = tuple[int, int]

# Seconds after which an evacuated domain without endpoints is reported. At the
# start of a daemon, evacuations may be listed before endpoints.
_UNKNOWN_AFTER_S = 3.0
# Maximum number of domains whose ended evacuations are remembered, so that news
# of a slower peer doesn't bring them back, and that are told to peers.
_MAX_TOLD = 32


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsLearned:
    """Event: the store or a peer tells of evacuations.

    Attributes:
        revisions: What is known, by failure domain.
    """

    revisions: dict[str, Revisions]


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationTick:
    """Event: time has passed.

    Attributes:
        known: The failure domains of all listed endpoints.
    """

    known: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class DomainsChanged:
    """Action: send nothing to the endpoints of exactly these domains.

    Attributes:
        domains: All evacuated domains.
        begun: Those whose evacuation began.
        ended: The domains whose evacuation ended.
    """

    domains: frozenset[str]
    begun: frozenset[str]
    ended: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownDomain:
    """Action: report that an evacuated domain has no endpoint."""

    domain: str


class EvacuationCore(Core):
    """The evacuated failure domains."""

    def __init__(self):
        self._revisions: dict[str, Revisions] = {}
        # When the evacuation of each evacuated domain became known.
        self._since_s: dict[str, float] = {}
        # Evacuated domains without endpoints that were reported.
        self._unknown: set[str] = set()

    @property
    def next_wakeup_s(self) -> float | None:
        """None; ticks come periodically."""
        return None

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return frozenset(self._since_s)

    def told(self) -> dict[str, Revisions]:
        """Returns what peers are told: the evacuations that changed last."""
        newest = sorted(self._revisions.items(), key=_newest_last)
        return dict(newest[-_MAX_TOLD:])

    def handle(self, event: object, now_s: float) -> list[object]:
        """Handles one event; returns what changed."""
        match event:
            case EvacuationsLearned():
                return self._merge(event.revisions, now_s)
            case EvacuationTick():
                return self._report_unknown(event.known, now_s)
        raise TypeError(f"not an evacuation event: {event!r}")

    def _merge(
        self, learned: dict[str, Revisions], now_s: float
    ) -> list[object]:
        before = self.domains
        for domain, news in learned.items():
            known = self._revisions.get(domain, (0, 0))
            found, gone = max(known[0], news[0]), max(known[1], news[1])
            self._revisions[domain] = (found, gone)
            if found > gone:
                self._since_s.setdefault(domain, now_s)
            else:
                self._since_s.pop(domain, None)
        self._forget_oldest()
        self._unknown &= self.domains
        if self.domains == before:
            return []
        return [
            DomainsChanged(
                self.domains, self.domains - before, before - self.domains
            )
        ]

    def _forget_oldest(self) -> None:
        """Forgets ended evacuations beyond the maximum, the oldest first."""
        ended = [
            entry
            for entry in self._revisions.items()
            if entry[0] not in self._since_s
        ]
        ended.sort(key=_newest_last)
        for domain, _ in ended[:-_MAX_TOLD]:
            del self._revisions[domain]

    def _report_unknown(
        self, known: frozenset[str], now_s: float
    ) -> list[object]:
        """Returns the evacuated domains that have no endpoint, each once."""
        self._unknown -= known
        found = [
            domain
            for domain, at_s in self._since_s.items()
            if domain not in known
            and domain not in self._unknown
            and now_s - at_s >= _UNKNOWN_AFTER_S
        ]
        self._unknown.update(found)
        return [UnknownDomain(domain) for domain in found]


def _newest_last(entry: tuple[str, Revisions]) -> tuple[int, str]:
    """Returns a sort key of a domain and its revisions."""
    domain, revisions = entry
    return (max(revisions), domain)
