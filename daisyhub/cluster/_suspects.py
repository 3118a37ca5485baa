"""Suspected requests, known to all daemons of the cluster.

Evidence is told to the live peers at once. Pings repeat what is known of
blocked requests, a few in each, so that a daemon that started later or was cut
off learns of them too. What was cleared is told to a peer that still blocks it.
"""

import time
from collections.abc import Callable

from daisyhub.balancing import EndpointProcess
from daisyhub.cluster._endpoint_messages import (
    EndedProcess,
    SuspectNews,
    TrialRequest,
    TrialResponse,
)
from daisyhub.cluster._messages import Ping
from daisyhub.cluster._owners import OwnerTable
from daisyhub.cluster._peers import PeerTable
from daisyhub.fleet_settings import parse_address
from daisyhub.logs import DecisionLog
from daisyhub.peers import PeerNetwork, PeerUnreachableError
from daisyhub.suspects import Evidence, LocalSuspects

__all__ = ["SharedSuspects"]

# Suspects in a ping, and processes of each: about half a kilobyte.
_MAX_IN_PING = 2
_MAX_PROCESSES_TOLD = 4
# Timeout of a request for a trial: some round trips between failure domains.
_CALL_TIMEOUT_S = 0.15


class SharedSuspects(LocalSuspects):
    """Suspects whose evidence all daemons share.

    Args:
        is_listed: Whether a process is listed by a list that is up to date.
        owners: Tells which daemon grants the trials of a request.
        network: Sends news and asks for trials.
        peers: The live daemons.
        log: Log of evidence and of what clears a request.
    """

    def __init__(
        self,
        is_listed: Callable[[EndpointProcess], bool],
        owners: OwnerTable,
        network: PeerNetwork,
        peers: PeerTable,
        log: DecisionLog,
    ):
        super().__init__(is_listed)
        self._owners = owners
        self._network = network
        self._peers = peers
        self._log = log
        self._last_in_ping = 0

    def status(self) -> list[dict[str, object]]:
        """Returns the blocked requests for operators."""
        now_s = time.monotonic()
        return [
            {
                "content": digest.hex(),
                "ended": [p.endpoint_id for p in suspect.ended],
                "seen_s_ago": round(now_s - suspect.seen_at_s, 1),
                "trials": suspect.trials,
            }
            for digest in self._core.blocked(now_s)
            if (suspect := self._core.get(digest)) is not None
        ]

    def lift(self, content: str) -> bool:
        """Clears a request for all daemons; returns whether it was known.

        Args:
            content: The digest of its content, hexadecimal.
        """
        try:
            digest = bytes.fromhex(content)
        except ValueError:
            return False
        now_s = time.monotonic()
        if not self._core.clear(digest, now_s):
            return False
        self._log.record("request_cleared", content=content, by="operator")
        self._tell(digest, now_s)
        return True

    def news_for_ping(self) -> tuple[SuspectNews, ...]:
        """Returns what a ping tells: some of the blocked requests in turn."""
        now_s = time.monotonic()
        blocked = self._core.blocked(now_s)
        if not blocked:
            return ()
        first = self._last_in_ping % len(blocked)
        self._last_in_ping = first + _MAX_IN_PING
        chosen = (blocked + blocked)[first:][:_MAX_IN_PING][: len(blocked)]
        return tuple(self._make_news(digest, now_s) for digest in chosen)

    def receive(self, envelope, message: object) -> None:
        """Handles a peer's news; ignores other messages."""
        if isinstance(message, SuspectNews):
            self._learn(message, envelope.sender)
        elif isinstance(message, Ping):
            for news in message.suspects:
                self._learn(news, envelope.sender, is_repeated=True)

    async def handle_request(self, request: TrialRequest) -> TrialResponse:
        """Decides about a peer's request for a trial."""
        self._learn(request.news, "")
        digest = request.news.digest
        is_granted = self._owners.is_own(
            _key(digest)
        ) and self._core.try_start_trial(digest, time.monotonic())
        if is_granted:
            self._tell(digest, time.monotonic())
        return TrialResponse(is_granted=is_granted)

    async def _try_start_trial(self, digest: bytes) -> bool:
        owner = self._owners.owner_of(_key(digest))
        now_s = time.monotonic()
        if owner == self._owners.own_id:
            is_granted = await super()._try_start_trial(digest)
            if is_granted:
                self._tell(digest, now_s)
            return is_granted
        request = TrialRequest(news=self._make_news(digest, now_s))
        try:
            response = await self._network.call(owner, request, _CALL_TIMEOUT_S)
        except PeerUnreachableError as exc:
            self._log.record("trial_unanswered", peer=owner, reason=str(exc))
            return False
        return response.is_granted

    def _on_evidence(self, digest: bytes, evidence: Evidence) -> None:
        self._log_evidence(digest, "")
        self._tell(digest, evidence.at_s)

    def _on_cleared(self, digest: bytes, at_s: float) -> None:
        self._log.record("request_cleared", content=digest.hex(), by="response")
        self._tell(digest, time.monotonic())

    def _tell(self, digest: bytes, now_s: float) -> None:
        """Tells the live peers what is known of a request."""
        news = self._make_news(digest, now_s)
        self._network.send_datagrams(
            [peer.daemon_id for peer in self._peers.live()], news
        )

    def _make_news(self, digest: bytes, now_s: float) -> SuspectNews:
        suspect = self._core.get(digest)
        ended = sorted(suspect.ended.items(), key=lambda entry: entry[1])
        is_cleared = suspect.cleared_at_s > float("-inf")
        return SuspectNews(
            digest=digest,
            ended=tuple(
                EndedProcess(
                    process.endpoint_id,
                    process.incarnation,
                    str(process.address),
                    now_s - ended_s,
                )
                for process, ended_s in ended[:_MAX_PROCESSES_TOLD]
            ),
            cleared_age_s=now_s - suspect.cleared_at_s if is_cleared else None,
            trials=suspect.trials,
        )

    def _learn(
        self, news: SuspectNews, peer: str, *, is_repeated: bool = False
    ) -> None:
        """Records a peer's news of a request.

        Args:
            news: The news.
            peer: The peer.
            is_repeated: Whether a ping repeats it; a peer that still blocks
                what was cleared is told so.
        """
        now_s = time.monotonic()
        known = self._core.get(news.digest)
        if news.cleared_age_s is not None and known is not None:
            self._core.clear(news.digest, now_s - news.cleared_age_s)
        has_new = False
        for ended in news.ended:
            try:
                address = parse_address(ended.address)
            except ValueError as exc:
                self._log.record(
                    "suspect_news_invalid", peer=peer, reason=str(exc)
                )
                continue
            process = EndpointProcess(
                ended.endpoint_id, ended.incarnation, address
            )
            evidence = Evidence(process, now_s - ended.age_s)
            has_new |= self._core.add(news.digest, evidence)
        if has_new:
            self._log_evidence(news.digest, peer)
        suspect = self._core.get(news.digest)
        if suspect is None:
            return
        if news.trials > suspect.trials:
            suspect.trials = news.trials
            suspect.trial_at_s = now_s
        if is_repeated and not suspect.ended:
            answer = self._make_news(news.digest, now_s)
            self._network.send_datagrams([peer], answer)

    def _log_evidence(self, digest: bytes, peer: str) -> None:
        suspect = self._core.get(digest)
        self._log.record(
            "request_evidence",
            content=digest.hex(),
            ended=[process.endpoint_id for process in suspect.ended],
            peer=peer,
        )


def _key(digest: bytes) -> str:
    return f"trial|{digest.hex()}"
