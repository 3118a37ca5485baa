"""A fake of the platform: objects, watches, endpoint lists, usage reports."""

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

_VALUE_BYTES = 1_000_000


class FakePlatform(FakeApp):
    """Keeps everything in memory; counts its calls.

    `PUT /admin/endpoints/DOMAIN` sets a list of `EndpointRecord`; `GET
    /admin/usage` tells the reports taken; `GET /admin/calls` the calls.
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

    async def handle(self, call: Request) -> Response:
        """Serves one call."""
        parts = call.path.strip("/").split("/", 1)
        rest = parts[1] if len(parts) > 1 else ""
        match parts[0]:
            case "objects" if rest:
                return self._on_object(rest, call)
            case "objects":
                return await self._on_list(call)
            case "domains" if call.method == "POST":
                self._count("writes")
                domain = rest.partition("/")[0]
                return self._on_order(domain, call.json(OrderRequest))
            case "domains":
                self._count("reads")
                domain = rest.partition("/")[0]
                return Response(value=self._endpoints.get(domain, []))
            case "usage":
                self._count("writes")
                return self._on_report(call.json(UsageReport))
            case "admin":
                return self._on_admin(rest, call)
        return Response(status=404)

    def _count(self, kind: str) -> None:
        self._calls[kind] = self._calls.get(kind, 0) + 1

    def _on_object(self, key: str, call: Request) -> Response:
        found = self._objects.get(key)
        if call.method == "GET":
            self._count("reads")
            return Response(value=found) if found else Response(status=404)
        self._count("writes")
        if len(call.body) > _VALUE_BYTES:
            return Response(status=413)
        version = found.version if found else 0
        if int(call.query["expected"]) != version:
            return Response(status=409, value={"version": version})
        self._revision += 1
        found = PlatformObject(
            key=key,
            version=version + 1,
            revision=self._revision,
            write_id=call.query["write_id"],
            value=msgspec.json.decode(call.body),
        )
        self._objects[key] = found
        self._changed.set()
        self._changed = anyio.Event()
        return Response(value=msgspec.structs.replace(found, value=None))

    async def _on_list(self, call: Request) -> Response:
        prefix = call.query.get("prefix", "")
        after = int(call.query.get("after", "0"))
        self._count("watches" if "wait" in call.query else "reads")
        with anyio.move_on_after(float(call.query.get("wait", "0"))):
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

    def _on_order(self, domain: str, request: OrderRequest) -> Response:
        """Takes an order once by its id; refuses old fencing numbers."""
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
            # No process is started: nothing listens at the record's port.
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

    def _on_report(self, report: UsageReport) -> Response:
        self._reports.append(report)
        return Response(value={})

    def _on_admin(self, rest: str, call: Request) -> Response:
        if rest.startswith("endpoints/"):
            domain = rest.partition("/")[2]
            self._endpoints[domain] = call.json(list[EndpointRecord])
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
