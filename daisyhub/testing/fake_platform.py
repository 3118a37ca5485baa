"""A fake of the product's own platform API, for `daisyhub.daemon`.

It serves objects, watches, endpoint lists, orders and usage reports.
`daisyhub.testing.fake_fleet` fakes the users' platform.
"""

import anyio
import msgspec
from absl import app

from daisyhub.hosting import (
    EndpointRecord,
    OrderRequest,
    OrderResponse,
    PlatformObject,
    UsageReport,
)
from daisyhub.logs import set_up_logs
from daisyhub.testing.fake_app import FakeApp, Request, Response, serve_fake

__all__ = ["FakePlatform"]

# The size limit of a value at the platform.
_MAX_VALUE_BYTES = 1_000_000


class FakePlatform(FakeApp):
    """Stores everything in memory and counts requests.

    `PUT /admin/endpoints/DOMAIN` sets the list of `EndpointRecord` of a failure
    domain; `GET /admin/usage` returns the accepted usage reports, `GET
    /admin/orders` the accepted orders, and `GET /admin/calls` the number of
    requests by kind: reads, writes, watches.
    """

    def __init__(self):
        super().__init__()
        self._objects: dict[str, PlatformObject] = {}
        self._revision = 0
        self._changed = anyio.Event()
        self._endpoints: dict[str, list[EndpointRecord]] = {}
        self._reports: list[UsageReport] = []
        self._calls: dict[str, int] = {}
        self._orders: dict[str, OrderRequest] = {}
        self._highest_fencing: dict[str, int] = {}

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        parts = request.path.strip("/").split("/", 1)
        rest = parts[1] if len(parts) > 1 else ""
        match parts[0]:
            case "objects" if rest:
                return self._handle_object(rest, request)
            case "objects":
                return await self._handle_list(request)
            case "domains" if request.method == "POST":
                self._count("writes")
                domain = rest.partition("/")[0]
                return self._handle_order(domain, request.json(OrderRequest))
            case "domains":
                self._count("reads")
                domain = rest.partition("/")[0]
                return Response(value=self._endpoints.get(domain, []))
            case "usage":
                self._count("writes")
                return self._handle_report(request.json(UsageReport))
            case "admin":
                return self._handle_admin(rest, request)
        return Response(status=404)

    def _count(self, kind: str) -> None:
        self._calls[kind] = self._calls.get(kind, 0) + 1

    def _handle_object(self, key: str, request: Request) -> Response:
        found = self._objects.get(key)
        if request.method == "GET":
            self._count("reads")
            return Response(value=found) if found else Response(status=404)
        self._count("writes")
        if len(request.body) > _MAX_VALUE_BYTES:
            return Response(status=413)
        version = found.version if found else 0
        if int(request.query["expected"]) != version:
            return Response(status=409, value={"version": version})
        self._revision += 1
        found = PlatformObject(
            key=key,
            version=version + 1,
            revision=self._revision,
            write_id=request.query["write_id"],
            value=msgspec.json.decode(request.body),
        )
        self._objects[key] = found
        self._changed.set()
        self._changed = anyio.Event()
        return Response(value=msgspec.structs.replace(found, value=None))

    async def _handle_list(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        self._count("watches" if "wait" in request.query else "reads")
        with anyio.move_on_after(float(request.query.get("wait", "0"))):
            while not self._changed_since(prefix, after):
                await self._changed.wait()
        objects = self._changed_since(prefix, after)
        return Response(value={"revision": self._revision, "objects": objects})

    def _changed_since(self, prefix: str, after: int) -> list[PlatformObject]:
        return [
            found
            for key, found in sorted(self._objects.items())
            if key.startswith(prefix) and found.revision > after
        ]

    def _handle_order(self, domain: str, request: OrderRequest) -> Response:
        """Accepts an order once per id; rejects stale fencing numbers."""
        order = request.order
        name = order.endpoint_id or f"ordered-{order.order_id}"
        if order.order_id in self._orders:
            return Response(value=OrderResponse(endpoint_id=name))
        if request.fencing < self._highest_fencing.get(domain, 0):
            return Response(status=409, value={})
        self._highest_fencing[domain] = request.fencing
        self._orders[order.order_id] = request
        records = self._endpoints.setdefault(domain, [])
        if order.kind == "start":
            # No process is started, so nothing listens on the record's port.
            record = EndpointRecord(
                endpoint_id=name,
                pool=order.pool,
                ip="127.0.0.1",
                port=1,
                cheap=order.cheap,
            )
            self._endpoints[domain] = [*records, record]
        else:
            self._endpoints[domain] = [
                msgspec.structs.replace(r, state="leaving")
                if r.endpoint_id == name
                else r
                for r in records
            ]
        return Response(value=OrderResponse(endpoint_id=name))

    def _handle_report(self, report: UsageReport) -> Response:
        self._reports.append(report)
        return Response(value={})

    def _handle_admin(self, rest: str, request: Request) -> Response:
        if rest.startswith("endpoints/"):
            domain = rest.partition("/")[2]
            self._endpoints[domain] = request.json(list[EndpointRecord])
            return Response(value={})
        if rest == "usage":
            return Response(value=self._reports)
        if rest == "orders":
            return Response(value=list(self._orders.values()))
        return Response(value=self._calls)


def _run(_: list[str]) -> None:
    set_up_logs("text")
    serve_fake(FakePlatform())


if __name__ == "__main__":
    app.run(_run)
