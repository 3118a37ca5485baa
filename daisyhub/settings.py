"""What one process is told: addresses, failure domain, data folder, times."""

import dataclasses
import pathlib
from typing import Annotated, Literal

from daisyhub.checks import Range, check_document

__all__ = [
    "Address",
    "DaemonSettings",
    "LimitSettings",
    "PeerSettings",
    "TimingSettings",
    "load_settings",
]

Name = Annotated[str, Range(1, 128, "characters")]
Port = Annotated[int, Range(1, 65535)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a TCP port.

    Attributes:
        ip: IP address.
        port: TCP port.
    """

    ip: Name
    port: Port

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Another daemon: where its peer socket listens.

    Attributes:
        daemon_id: Its unique name.
        failure_domain: Where it runs.
        address: Its `peer_address`.
    """

    daemon_id: Name
    failure_domain: Name
    address: Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimingSettings:
    """Intervals and terms, all in seconds.

    Attributes:
        watch_wait_s: How long the platform may hold a watch.
        platform_timeout_s: Longest wait for any other platform call.
        endpoint_poll_s: Interval of reading the platform's endpoint list.
        probe_s: Interval of looking for endpoints to probe; one that answered
            a request or a probe within five of them is left alone.
        peer_tick_s: Interval of batched messages between daemons.
        lease_term_s: Term of every lease.
        lease_margin_s: What a holder keeps back of its term.
        usage_window_s: Length of a usage window.
        usage_grace_s: Wait after a window's end before it is sealed.
        drain_notice_s: How long a leaving daemon still accepts requests.
        drain_limit_s: Longest wait for open requests at shutdown.
        connection_idle_s: An idle connection older than this is closed.
        connect_timeout_s: Longest wait for a connection to an endpoint.
    """

    watch_wait_s: Annotated[float, Range(0.1, 60, "s")] = 20.0
    platform_timeout_s: Annotated[float, Range(0.1, 30, "s")] = 2.0
    endpoint_poll_s: Annotated[float, Range(0.05, 60, "s")] = 2.0
    probe_s: Annotated[float, Range(0.05, 60, "s")] = 1.0
    peer_tick_s: Annotated[float, Range(0.05, 10, "s")] = 1.0
    lease_term_s: Annotated[float, Range(0.5, 120, "s")] = 6.0
    lease_margin_s: Annotated[float, Range(0.1, 30, "s")] = 1.0
    usage_window_s: Annotated[float, Range(0.5, 86400, "s")] = 60.0
    usage_grace_s: Annotated[float, Range(0.1, 3600, "s")] = 5.0
    drain_notice_s: Annotated[float, Range(0, 120, "s")] = 3.0
    drain_limit_s: Annotated[float, Range(0.1, 3600, "s")] = 600.0
    connection_idle_s: Annotated[float, Range(0.1, 600, "s")] = 15.0
    connect_timeout_s: Annotated[float, Range(0.01, 30, "s")] = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitSettings:
    """Bounds on what one daemon accepts.

    Attributes:
        header_bytes: Largest sum of header names and values.
        body_bytes: Largest request body on any route.
        answer_bytes: Largest answer that is buffered.
        concurrent_requests: Requests in the daemon at one time.
    """

    header_bytes: Annotated[int, Range(1024, 1 << 20, "bytes")] = 16384
    body_bytes: Annotated[int, Range(1024, 1 << 30, "bytes")] = 1 << 20
    answer_bytes: Annotated[int, Range(1024, 1 << 30, "bytes")] = 1 << 23
    concurrent_requests: Annotated[int, Range(1, 100_000)] = 512


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Settings of one `daisyhubd`.

    Attributes:
        daemon_id: Unique name of this daemon.
        failure_domain: Where it runs.
        callers_address: Listener for callers and trainers.
        operators_address: Listener for operators.
        peer_address: Listener for other daemons.
        platform_address: The platform's service.
        key_hash_secret: Secret of the keyed hash of client keys, hex.
        peers: Other daemons known at the start.
        orders_check_fencing: Whether the failure domain's interface for
            ordering endpoints refuses old fencing numbers.
        data_folder: Folder for bulk data; empty for none.
        log_format: `text` or `json`.
        timing: Intervals and terms.
        limits: Bounds on what is accepted.
    """

    daemon_id: Name
    failure_domain: Name
    callers_address: Address
    operators_address: Address
    peer_address: Address
    platform_address: Address
    key_hash_secret: Annotated[str, Range(32, 256, "characters")] = (
        dataclasses.field(repr=False)
    )
    peers: tuple[PeerSettings, ...] = ()
    orders_check_fencing: bool = True
    data_folder: str = ""
    log_format: Literal["text", "json"] = "text"
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()

    @property
    def domain_peers(self) -> tuple[PeerSettings, ...]:
        """The other daemons of the same failure domain."""
        return tuple(
            peer
            for peer in self.peers
            if peer.failure_domain == self.failure_domain
        )


def load_settings(path: str) -> DaemonSettings:
    """Reads and checks a settings file.

    Raises:
        DocumentError: With every fault of the file.
        OSError: The file can't be read.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return check_document(text, DaemonSettings, path)
