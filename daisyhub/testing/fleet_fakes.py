"""Calls of operators and tests to the fakes of the users' platform."""

import json

import msgspec

from daisyhub.connections import HttpClient, HttpResponse
from daisyhub.settings import Address

__all__ = ["FleetFakes"]

_LOOPBACK = "127.0.0.1"


class FleetFakes:
    """The object store and the servers of a fleet.

    Attributes:
        server_names: Names of the servers.
        ports: Port of each listener by name; see `Fleet`.
        http: Client for all calls.
    """

    def __init__(self, server_names: list[str]):
        self.server_names = server_names
        self.ports: dict[str, int] = {}
        self.http = HttpClient(connect_timeout_s=1.0, idle_s=5.0)

    async def put(self, kind: str, name: str, spec: dict) -> None:
        """Writes an object as an operator would."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        await self.http.request(
            "PUT",
            self.address("platform"),
            f"/v1/objects/{kind}/{name}",
            body=body,
            timeout_s=5.0,
        )

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object as an operator would."""
        await self.http.request(
            "DELETE",
            self.address("platform"),
            f"/v1/objects/{kind}/{name}",
            timeout_s=5.0,
        )

    async def inject_fault(self, name: str, fault: dict | None) -> None:
        """Injects a fault into a fake; None removes all its faults."""
        await self.http.request(
            "POST" if fault else "DELETE",
            self.address(name),
            "/faults",
            body=msgspec.json.encode(fault),
            timeout_s=5.0,
        )

    async def announce_leaving(
        self, name: str, *, is_leaving: bool = True
    ) -> None:
        """Has a server announce in its responses that it is leaving, or not.

        Its entry in the object store doesn't change.
        """
        await self.http.request(
            "POST" if is_leaving else "DELETE",
            self.address(name),
            "/admin/leave",
            timeout_s=5.0,
        )

    async def set_limit(self, name: str, per_s: float | None) -> None:
        """Has a server state a limit in its responses; None for no limit."""
        await self.http.request(
            "DELETE" if per_s is None else "POST",
            self.address(name),
            "/admin/limit",
            body=b"" if per_s is None else str(per_s).encode(),
            timeout_s=2.0,
        )

    async def limited_arrivals(self, name: str) -> list[float]:
        """Returns when requests arrived at a server while it had a limit."""
        response = await self._get(self.ports[name], "/admin/arrivals")
        return json.loads(response.body)

    async def received(self, name: str) -> list[dict]:
        """Returns path and arrival of each request that a server received."""
        response = await self._get(self.ports[name], "/admin/received")
        return json.loads(response.body)

    async def remove_fault(self, name: str, fault_id: str) -> None:
        """Removes one fault of a fake."""
        await self.http.request(
            "DELETE",
            self.address(name),
            f"/faults?id={fault_id}",
            timeout_s=5.0,
        )

    async def faulted_clients(self, name: str, fault_id: str) -> list[str]:
        """Returns the IP addresses to which a fault was applied, in order."""
        response = await self._get(self.ports[name], "/faults")
        return json.loads(response.body).get(fault_id, [])

    async def created_lots(self) -> dict[str, float]:
        """Returns the monotonic time at which each lot was stored, by id."""
        response = await self._get(self.ports["platform"], "/admin/created")
        return json.loads(response.body)

    async def usage(self) -> list[dict]:
        """Returns the usage reports that the platform accepted."""
        response = await self._get(self.ports["platform"], "/admin/usage")
        return json.loads(response.body)

    async def executed_requests(self, *servers: str) -> list[dict]:
        """Returns the requests that some servers, or all, executed."""
        runs = []
        for name in servers or self.server_names:
            response = await self._get(self.ports[name], "/admin/ran")
            runs += json.loads(response.body)
        return runs

    async def _get(self, port: int, target: str) -> HttpResponse:
        address = Address(ip=_LOOPBACK, port=port)
        return await self.http.request("GET", address, target, timeout_s=2.0)

    def address(self, name: str) -> Address:
        """Returns the address of a fake or of a daemon's `name/listener`."""
        return Address(ip=_LOOPBACK, port=self.ports[name])
