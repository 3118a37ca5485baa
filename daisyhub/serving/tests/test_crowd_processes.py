"""Crowds of clients that ignore the limits, at the daemon `daisyhubd`."""

from daisyhub.serving.tests.crowd_cases import (
    BODY_BYTES,
    CONNECTION_IDLE_S,
    HEAD_TIMEOUT_S,
    HEADER_BYTES,
    IDLE_TIMEOUT_S,
    MEMORY_MB,
    SOCKETS,
    CrowdTests,
)
from daisyhub.testing.caller import Caller
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment


class DaemonCrowdTest(CrowdTests):
    """One daemon in front of one service."""

    async def start(self):
        limits = {
            "header_bytes": HEADER_BYTES,
            "body_bytes": BODY_BYTES,
            "head_timeout_s": HEAD_TIMEOUT_S,
            "idle_timeout_s": IDLE_TIMEOUT_S,
            "memory_mb": MEMORY_MB,
            "sockets": SOCKETS,
        }
        timing = {"connection_idle_s": CONNECTION_IDLE_S}
        deployment = Deployment(("busan",), 1, 0, 1, timing, limits=limits)
        self.addCleanup(deployment.stop)
        await deployment.start()
        self.keys = DemoKeys.make()
        self.key = DemoKeys.text(self.keys.yard).encode()
        document = demo_document(self.keys)
        document["routes"]["records"]["methods"] = ["GET", "PUT"]
        document["routes"]["records"]["body_bytes"] = BODY_BYTES
        await deployment.apply(document)
        self.daemon = deployment.daemons()[0]
        self.pid = self.daemon.popen.pid
        self.listener = self.daemon.address
        self.operators_listener = self.daemon.operators_address
        self.peers_listener = self.daemon.peer_address

    def is_alive(self):
        return self.daemon.popen.poll() is None

    async def ask(self, body=b""):
        caller = Caller(self.daemon.address, DemoKeys.text(self.keys.yard))
        resp = await caller.http.request(
            "PUT",
            self.daemon.address,
            "/records/1",
            headers=((b"authorization", f"Bearer {caller.key}".encode()),),
            body=body,
            timeout_s=5.0,
        )
        await caller.aclose()
        return resp.status

    def head(self, *, has_body=True):
        lines = [
            b"%s /records/1 HTTP/1.1" % (b"PUT" if has_body else b"GET"),
            b"Host: records.example",
            b"Authorization: Bearer " + self.key,
        ]
        return b"\r\n".join(lines) + b"\r\n"


del CrowdTests
