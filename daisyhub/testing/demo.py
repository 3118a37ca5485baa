"""An end-to-end demo: all processes on loopback, requests, and checks."""

import contextlib
import json
import signal
import subprocess
import sys
import time

import anyio

from daisyhub.connections import RequestFailedError
from daisyhub.testing.caller import Caller, run_trainer
from daisyhub.testing.demo_config import DemoKeys, demo_document
from daisyhub.testing.processes import Deployment

__all__ = ["Demo", "DemoError"]

_LOAD_CALLERS = 8
_LOAD_S = 3.0
_MS_PER_S = 1000


class DemoError(Exception):
    """A check of a step failed."""


def _check(is_met: bool, message: str) -> None:
    if not is_met:
        raise DemoError(message)


class Demo:
    """The steps of the demo, in order."""

    def __init__(self):
        self.deployment = Deployment()
        self.keys = DemoKeys.make()
        self.weight_version = 0

    async def run(self) -> None:
        """Runs every step.

        Raises:
            DemoError: A check of a step failed.
        """
        steps = (
            ("start", self.start),
            ("look-up", self.look_up),
            ("filing", self.file_once),
            ("trainer lot", self.train),
            ("change", self.change),
            ("usage", self.report_usage),
            ("shutdown", self.shut_down),
        )
        for name, step in steps:
            started_s = time.monotonic()
            summary = await step()
            took_s = time.monotonic() - started_s
            print(f"{name:<12} {took_s:6.2f} s  {summary}", flush=True)

    def _caller(self, daemon, key=None) -> Caller:
        text = DemoKeys.text(key) if key is not None else ""
        return Caller(daemon.address, text)

    def _cli(self, *args: str) -> list[dict]:
        command = [sys.executable, "-m", "daisyhub.cli", *args]
        settings = self.deployment.folder / "operator.jsonc"
        command += [f"--settings={settings}", "--output=json"]
        completed = subprocess.run(command, capture_output=True, check=False)
        _check(
            completed.returncode == 0, f"{args}: {completed.stderr.decode()}"
        )
        return json.loads(completed.stdout)

    def _apply(self, document: dict) -> int:
        path = self.deployment.folder / "config.jsonc"
        path.write_text(json.dumps(document, indent=2), encoding="utf-8")
        rows = self._cli("apply", str(path), "--team=platform")
        return rows[0]["version"]

    async def start(self) -> str:
        """Starts all processes and applies the first configuration."""
        await self.deployment.start()
        self.deployment.write_operator_settings()
        version = self._apply(demo_document(self.keys))
        took_s = await self.deployment.wait_for_version(version)

        # Two engines and a service per failure domain.
        def has_endpoints(status: dict) -> bool:
            return len(status["endpoints"]) == 3

        await self.deployment.wait_for_status(has_endpoints)
        count = len(self.deployment.processes)
        return (
            f"{count} processes, version {version}"
            f" in {took_s * _MS_PER_S:.0f} ms"
        )

    async def look_up(self) -> str:
        """Sends look-ups on a route that needs a key and on an open route."""
        times = []
        for daemon in self.deployment.daemons():
            caller = self._caller(daemon, self.keys.yard)
            for number in range(25):
                started_s = time.monotonic()
                response = await caller.send("GET", f"/records/{number}")
                times.append(time.monotonic() - started_s)
                _check(response.status == 200, f"look-up: {response}")
                _check(
                    b'"account":"yard"' in response.body,
                    f"look-up without account yard: {response.body}",
                )
            open_caller = Caller(daemon.address)
            response = await open_caller.send("GET", "/open/page")
            _check(response.status == 200, f"open look-up: {response}")
            response = await open_caller.send("GET", "/records/1")
            _check(response.status == 401, f"without a key: {response}")
            await caller.aclose()
            await open_caller.aclose()
        times.sort()
        median_ms = times[len(times) // 2] * _MS_PER_S
        return f"{len(times)} look-ups, median {median_ms:.1f} ms"

    async def file_once(self) -> str:
        """Sends each filing twice with one idempotency key, to two daemons."""
        daemons = self.deployment.daemons("busan")
        first = self._caller(daemons[0], self.keys.archive)
        second = self._caller(daemons[1], self.keys.archive)
        for number in range(10):
            header = ((b"idempotency-key", f"filing-{number}".encode()),)
            value = f"record {number}"
            one = await first.send("POST", "/filings", value, headers=header)
            two = await second.send("POST", "/filings", value, headers=header)
            _check(one.status == 201, f"filing: {one}")
            _check(one.body == two.body, f"repeat differs: {two}")
        filings = await self._filings("busan")
        _check(len(filings) == 10, f"filed {len(filings)} times instead of 10")
        await first.aclose()
        await second.aclose()
        return "10 filings, 20 requests, 10 runs"

    async def _filings(self, domain: str) -> list[str]:
        filings = []
        for service in self.deployment.services(domain):
            caller = Caller(service.address)
            filings += await caller.json("GET", "/admin/filings")
            await caller.aclose()
        return filings

    async def publish_weights(self, version: int) -> None:
        """Publishes a weight version, as a trainer does."""
        caller = Caller(self.deployment.platform.address)
        target = "/objects/news/weights/model"
        query = f"expected={self.weight_version}&write_id=trainer-{version}"
        await caller.send("PUT", f"{target}?{query}", {"version": version})
        self.weight_version = version
        await caller.aclose()

    async def train(self) -> str:
        """Runs a lot during which the weights are swapped."""
        callers = [
            self._caller(daemon, self.keys.trainer)
            for daemon in self.deployment.daemons()
        ]
        await self.publish_weights(1)

        async def swap() -> None:
            await anyio.sleep(0.3)
            await self.publish_weights(2)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(swap)
            result = await run_trainer(
                callers,
                "step-1",
                "assess",
                [f"board {number}" for number in range(24)],
                lambda: self.weight_version,
                max_staleness=2,
            )
        for caller in callers:
            await caller.aclose()
        _check(len(result.groups) == 24, f"{len(result.groups)} groups of 24")
        sizes = {len(samples) for samples in result.groups.values()}
        _check(sizes == {4}, f"group sizes {sizes}, expected 4")
        _check(
            not result.duplicate_groups,
            f"{result.duplicate_groups} duplicate groups",
        )
        _check(
            not result.stale_samples,
            f"{result.stale_samples} samples were stale",
        )
        return (
            f"24 groups of 4, {result.mixed_version_samples} samples over two"
            f" versions, idle {result.idle_s:.2f} s"
        )

    async def change(self) -> str:
        """Withdraws a key, changes a route, and measures how long both take."""
        daemons = self.deployment.daemons()
        callers = [self._caller(d, self.keys.yard) for d in daemons]
        started_s = time.monotonic()
        self._cli("key", "withdraw", self.keys.yard.key_id)
        withdrawn_s = await self._wait_for_status(callers, "/records/1", 401)
        withdrawn_s = time.monotonic() - started_s
        document = demo_document(self.keys)
        document["routes"]["open"]["path_prefix"] = "/public"
        started_s = time.monotonic()
        version = self._apply(document)
        await self.deployment.wait_for_version(version)
        changed_s = time.monotonic() - started_s
        open_callers = [self._caller(d) for d in daemons]
        await self._wait_for_status(open_callers, "/open/page", 404)
        await self._wait_for_status(open_callers, "/public/page", 200)
        rows = self._cli("audit")
        versions = [row["version"] for row in rows]
        _check(
            versions == list(range(1, version + 1)),
            f"audit lists versions {versions}, not 1 to {version}",
        )
        for caller in callers + open_callers:
            await caller.aclose()
        return (
            f"key withdrawn in {withdrawn_s:.2f} s, version {version}"
            f" everywhere in {changed_s:.2f} s, command line included"
        )

    async def _wait_for_status(self, callers, target, status) -> None:
        with anyio.fail_after(10):
            for caller in callers:
                while (await caller.send("GET", target)).status != status:
                    await anyio.sleep(0.01)

    async def report_usage(self) -> str:
        """Waits until every request so far is reported exactly once."""
        caller = Caller(self.deployment.platform.address)
        # 25 look-ups at each of 4 daemons; 10 filings, whose repeats aren't
        # counted; 24 groups of 4 samples.
        expected = {"yard": 100, "archive": 10, "trainer": 96}
        sums: dict[str, int] = {}
        with anyio.move_on_after(20):
            while sums != expected:
                await anyio.sleep(0.2)
                reports = await caller.json("GET", "/admin/usage")
                bodies_by_window = {
                    (r["failure_domain"], r["window"]): r["body"]
                    for r in reports
                }
                sums = _sum_requests(bodies_by_window.values())
        await caller.aclose()
        _check(sums == expected, f"reported {sums}, expected {expected}")
        _check(
            len(
                {(r["failure_domain"], r["window"], r["body"]) for r in reports}
            )
            == len(bodies_by_window),
            "a window was reported with different counts",
        )
        return f"{len(bodies_by_window)} windows sealed, requests {sums}"

    async def shut_down(self) -> str:
        """Stops one daemon under load; no request may be interrupted."""
        stopping, remaining = self.deployment.daemons("busan")
        counts = {"ok": 0, "cut": 0}
        deadline_s = time.monotonic() + _LOAD_S

        async def load() -> None:
            targets = [stopping, remaining]
            caller = self._caller(targets[0], self.keys.archive)
            while time.monotonic() < deadline_s:
                try:
                    response = await caller.send("GET", "/records/7")
                    counts["ok" if response.status == 200 else "cut"] += 1
                    headers = dict(response.headers)
                    if headers.get(b"connection") == b"close":
                        # As a load balancer does when /readyz fails.
                        caller.address = remaining.address
                except RequestFailedError:
                    counts["cut"] += 1

        async with anyio.create_task_group() as tasks:
            for _ in range(_LOAD_CALLERS):
                tasks.start_soon(load)
            await anyio.sleep(1.0)
            stopping.send_signal(signal.SIGTERM)
        exit_code = await anyio.to_thread.run_sync(stopping.wait)
        _check(exit_code == 0, f"exit code {exit_code} after SIGTERM")
        _check(not counts["cut"], f"{counts['cut']} requests were interrupted")
        return f"{counts['ok']} requests, 0 interrupted, exit code 0"


def _sum_requests(bodies) -> dict[str, int]:
    sums: dict[str, int] = {}
    for body in bodies:
        for count in json.loads(body)["counts"]:
            account = count["account"]
            sums[account] = sums.get(account, 0) + count["requests"]
    return sums


def main() -> int:
    """Runs the demo; returns the exit code, 1 if a step failed."""
    demo = Demo()
    try:
        with contextlib.ExitStack() as stack:
            stack.callback(demo.deployment.stop)
            try:
                anyio.run(demo.run)
            except (DemoError, TimeoutError) as exc:
                print(f"demo: failed: {exc!r}")
                for process in demo.deployment.daemons():
                    print(demo.deployment.read_log(process.name)[-2000:])
                return 1
    except KeyboardInterrupt:
        return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
