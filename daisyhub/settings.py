"""Settings of `daisyhubd`.

`fleet_settings` has those of the daemon that runs on the users' platform.
"""

import dataclasses
import pathlib
from typing import Annotated, Literal

from daisyhub.checks import Range, check_document

__all__ = [
    "MAX_PORT",
    "Address",
    "DaemonSettings",
    "LimitSettings",
    "PeerSettings",
    "TimingSettings",
    "load_settings",
]

Name = Annotated[str, Range(1, 128, "characters")]
MAX_PORT = 65535
Port = Annotated[int, Range(1, MAX_PORT)]


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
    """Another daemon and the address of its peer listener.

    Attributes:
        daemon_id: Its unique name.
        failure_domain: Its failure domain.
        address: Its `peer_address`.
    """

    daemon_id: Name
    failure_domain: Name
    address: Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimingSettings:
    """Intervals, timeouts and terms, all in seconds.

    Attributes:
        watch_wait_s: Time for which the platform may delay the response to a
            watch call.
        platform_timeout_s: Timeout of all other calls to the platform.
        endpoint_poll_s: Interval between reads of the platform's endpoint list.
        probe_s: Interval between probes of endpoints; an endpoint that
            responded to a request or a probe within the last five intervals
            is skipped.
        peer_tick_s: Interval between batches of messages to other daemons.
        lease_term_s: Term of every lease.
        lease_margin_s: Safety margin of leases: a holder stops using a lease
            this long before the end of the term, and others wait this much
            longer.
        usage_window_s: Length of a usage window.
        usage_grace_s: Delay between the end of a usage window and its sealing.
        drain_notice_s: Time for which a daemon still accepts requests after the
            start of its shutdown.
        drain_limit_s: Maximum wait for open requests at a shutdown.
        connection_idle_s: Time after which an idle connection is closed.
        connect_timeout_s: Timeout of opening a connection.
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
    """Limits of one daemon.

    Attributes:
        header_bytes: Maximum total size of a request's header names and values.
        body_bytes: Maximum size of a request body on any route.
        answer_bytes: Maximum size of a buffered response body.
        concurrent_requests: Maximum number of concurrent requests in service.
        head_timeout_s: Maximum time from the first byte of a request to the end
            of its head.
        idle_timeout_s: Time after which a caller's idle connection is closed.
        memory_mb: Memory of the process, in units of 10^6 bytes.
        sockets: Number of sockets that the process may open; 0 for its resource
            limit.
    """

    header_bytes: Annotated[int, Range(1024, 1 << 20, "bytes")] = 16384
    body_bytes: Annotated[int, Range(1024, 1 << 30, "bytes")] = 1 << 20
    answer_bytes: Annotated[int, Range(1024, 1 << 30, "bytes")] = 1 << 23
    concurrent_requests: Annotated[int, Range(1, 100_000)] = 512
    head_timeout_s: Annotated[float, Range(0.1, 600, "s")] = 10.0
    idle_timeout_s: Annotated[float, Range(0.1, 3600, "s")] = 75.0
    memory_mb: Annotated[float, Range(64, 1_000_000, "MB")] = 512.0
    sockets: Annotated[int, Range(0, 10_000_000)] = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Settings of one `daisyhubd`.

    Attributes:
        daemon_id: Unique name of this daemon.
        failure_domain: Its failure domain.
        callers_address: Address of the listener for callers and trainers.
        operators_address: Address of the listener for operators.
        peer_address: Address of the listener for other daemons.
        platform_address: Address of the platform's service.
        key_hash_secret: Secret of the keyed hash of client keys, hexadecimal.
        peers: Other daemons that are known at the start.
        orders_check_fencing: Whether the failure domain's interface for
            ordering endpoints rejects stale fencing numbers.
        data_folder: Folder for bulk data; empty for none. Not used.
        log_format: `text` or `json`.
        timing: Intervals, timeouts and terms.
        limits: Limits of this daemon.
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
        """The other daemons of this daemon's failure domain."""
        return tuple(
            peer
            for peer in self.peers
            if peer.failure_domain == self.failure_domain
        )


def load_settings(path: str) -> DaemonSettings:
    """Reads and validates a settings file.

    Raises:
        DocumentError: The file is invalid; lists all errors.
        OSError: The file can't be read.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return check_document(text, DaemonSettings, path)
