"""What one daemon is told when it runs on the users' platform."""

import dataclasses
import pathlib
from typing import Annotated

from daisyhub.checks import Range, check_document
from daisyhub.settings import Address, PeerSettings

__all__ = ["FleetSettings", "parse_address", "load_fleet_settings"]

Name = Annotated[str, Range(1, 128, "characters")]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Settings of one daemon on the users' platform.

    Addresses are written `IP:PORT`.

    Attributes:
        daemon_id: Unique name of this daemon's machine.
        failure_domain: Where it runs.
        callers: Listener for callers.
        readiness: Listener that the platform asks whether to send callers.
        peer: Listener for other daemons.
        metrics_port: Port of the listener for metrics and status.
        seeds: Peer listeners of some daemons, which may be down.
        store: The platform's store.
        order_desk: The platform's interface for usage and endpoint orders;
            empty for none.
        duties: Which calls of the order desk are this system's duty.
        fencing_checked: Whether receivers of orders refuse old fencing
            numbers.
        lease_ms: Time within which holders of a duty must not take turns.
        grace_s: Time from SIGTERM to SIGKILL.
        usage_window_s: Length of a usage window.
        usage_late_s: Time after a window's end by which its report is due.
        status_s: How long a lot stays readable after its acceptance.
        processor_share: Part of the time in which the machine's processor
            works for this daemon.
        processor_cores: How many times as fast as one core it is then.
        loads_share: Share of a pool's engines that load weights at one time.
        call_timeout_s: Longest wait for an answer of the store.
        connection_idle_s: An idle connection older than this is closed.
        connect_timeout_s: Longest wait for a connection to an endpoint.
    """

    daemon_id: Name
    failure_domain: Name
    callers: str
    readiness: str
    peer: str
    metrics_port: Annotated[int, Range(1, 65535)]
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

    @property
    def peer_address(self) -> Address:
        """Where the peer socket listens."""
        return parse_address(self.peer)

    @property
    def processor_speed(self) -> float:
        """The processor of this daemon's machine, in cores."""
        return self.processor_share * self.processor_cores

    @property
    def peers(self) -> tuple[PeerSettings, ...]:
        """Peers known from the settings: none, they are found in the store."""
        return ()

    @property
    def metrics_address(self) -> Address:
        """Where metrics and status are served."""
        return Address(ip=self.peer_address.ip, port=self.metrics_port)


def parse_address(text: str) -> Address:
    """Reads `IP:PORT`.

    Raises:
        ValueError: The text has another form.
    """
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise ValueError(f"address {text!r} is not IP:PORT")
    return Address(ip=ip, port=int(port))


def load_fleet_settings(path: str) -> FleetSettings:
    """Reads and checks a settings file.

    Raises:
        DocumentError: With every fault of the file.
        OSError: The file can't be read.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return check_document(text, FleetSettings, path)
