"""Settings of a daemon that runs on the users' platform."""

import dataclasses
import ipaddress
import pathlib
from typing import Annotated, Literal

from daisyhub.checks import Range, check_document
from daisyhub.json_texts import parse_count
from daisyhub.settings import MAX_PORT, Address, PeerSettings

__all__ = ["FleetSettings", "parse_address", "load_fleet_settings"]

Name = Annotated[str, Range(1, 128, "characters")]

# Descriptors that the platform keeps for files.
_FILE_DESCRIPTORS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Settings of one daemon on the users' platform.

    Addresses have the form `IP:PORT`.

    Attributes:
        daemon_id: Unique name of this daemon's instance.
        failure_domain: Failure domain of the instance.
        callers: Address of the listener for callers.
        readiness: Address of the listener for the platform's readiness checks.
        peer: Address of the listener for other daemons.
        metrics_port: Port of the listener for metrics and status.
        relay_port: Port of the listener for requests that other daemons, which
            are cut off from the endpoints, send through this one; 0 for none.
        seeds: Peer addresses of some daemons, used to find the others; they may
            be down.
        store: Address of the platform's store.
        order_desk: Address of the platform's service for usage reports and
            endpoint orders; empty for none.
        duties: Calls of the order desk that this system is responsible for;
            filled in by the platform, but not used.
        fencing_checked: Whether receivers of orders reject stale fencing
            numbers.
        lease_ms: Term of a duty. A daemon that lost the duty doesn't acquire it
            again for one term. If fencing numbers aren't checked, a holder also
            stops acting before one term has passed since it sent the last
            successful read or write of the duty's record, and a daemon that
            takes over from another waits one term before it acts.
        grace_s: Time between SIGTERM and SIGKILL at a shutdown.
        usage_window_s: Length of a usage window.
        usage_late_s: Time between the end of a usage window and the deadline of
            its report.
        status_s: Minimum time for which a lot stays readable after its
            acceptance.
        processor_share: Share of the processor time that this daemon gets.
        processor_cores: Speed of the processor during that time, in cores.
        loads_share: Share of a pool's engines that may load weights
            concurrently.
        call_timeout_s: Timeout of a call to the store.
        connection_idle_s: Time after which an idle connection is closed.
        connect_timeout_s: Timeout of opening a connection.
        adaptive_scheduling: For which pools capacity is measured and waiting
            work is ordered by what its callers lose: `off` for none, `on` for
            all, `auto` for those whose endpoints state the pace of their
            machine, and those with `adaptive_models` models or more.
        adaptive_models: Number of models of a pool, one for each trainer, from
            which on it is adaptive with `auto`; 0 for none. With fewer, the
            steps of all trainers fit into the slots together.
        evacuate_ms: Time after which nothing reaches the endpoints of a failure
            domain that operators evacuate; 0 if they don't.
        memory_mb: Memory of the process, in units of 10^6 bytes.
        descriptors: Number of descriptors that the process may open; 0 if only
            its resource limit is known.
    """

    daemon_id: Name
    failure_domain: Name
    callers: str
    readiness: str
    peer: str
    metrics_port: Annotated[int, Range(1, 65535)]
    relay_port: Annotated[int, Range(0, 65535)] = 0
    seeds: tuple[str, ...] = ()
    store: str
    order_desk: str = ""
    duties: tuple[str, ...] = ()
    fencing_checked: bool = True
    lease_ms: Annotated[float, Range(100, 60_000, "ms")] = 3000.0
    grace_s: Annotated[float, Range(0.5, 600, "s")] = 8.0
    usage_window_s: Annotated[float, Range(0.5, 86400, "s")] = 5.0
    usage_late_s: Annotated[float, Range(0.5, 86400, "s")] = 10.0
    status_s: Annotated[float, Range(1, 86400, "s")] = 120.0
    processor_share: Annotated[float, Range(0.001, 1000)] = 1.0
    processor_cores: Annotated[float, Range(0.001, 1000)] = 1.0
    loads_share: Annotated[float, Range(0.01, 1)] = 0.4
    call_timeout_s: Annotated[float, Range(0.05, 30, "s")] = 0.7
    connection_idle_s: Annotated[float, Range(0.1, 600, "s")] = 30.0
    connect_timeout_s: Annotated[float, Range(0.01, 30, "s")] = 1.0
    adaptive_scheduling: Literal["off", "auto", "on"] = "off"
    adaptive_models: Annotated[int, Range(0, 1000)] = 0
    evacuate_ms: Annotated[float, Range(0, 600_000, "ms")] = 0.0
    memory_mb: Annotated[float, Range(64, 1_000_000, "MB")] = 256.0
    descriptors: Annotated[int, Range(0, 10_000_000)] = 0

    @property
    def sockets(self) -> int:
        """Number of sockets that the process may open; 0 if unknown."""
        return max(0, self.descriptors - _FILE_DESCRIPTORS)

    @property
    def peer_address(self) -> Address:
        """Address of the listener for other daemons."""
        return parse_address(self.peer)

    @property
    def processor_speed(self) -> float:
        """Average processor speed available to this daemon, in cores."""
        return self.processor_share * self.processor_cores

    @property
    def peers(self) -> tuple[PeerSettings, ...]:
        """Empty; other daemons are found through `seeds` and the store."""
        return ()

    @property
    def metrics_address(self) -> Address:
        """Address of the listener for metrics and status.

        It has the IP address of the peer listener.
        """
        return Address(ip=self.peer_address.ip, port=self.metrics_port)

    @property
    def relay_address(self) -> Address | None:
        """Address of the listener for relayed requests; None for none.

        It has the IP address of the peer listener.
        """
        if not self.relay_port:
            return None
        return Address(ip=self.peer_address.ip, port=self.relay_port)


def parse_address(text: str) -> Address:
    """Parses an address of the form `IP:PORT`.

    Raises:
        ValueError: The text has a different form, or the port is out of range.
    """
    ip, _, port_text = text.rpartition(":")
    port = parse_count(port_text)
    if port is None or not 1 <= port <= MAX_PORT:
        raise ValueError(f"address {text[:80]!r} is not IP:PORT")
    # Raises ValueError for names, which would be resolved with each use.
    ipaddress.ip_address(ip)
    return Address(ip=ip, port=port)


def load_fleet_settings(path: str) -> FleetSettings:
    """Reads and validates a settings file.

    Raises:
        DocumentError: The file is invalid; lists all errors.
        OSError: The file can't be read.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return check_document(text, FleetSettings, path)
