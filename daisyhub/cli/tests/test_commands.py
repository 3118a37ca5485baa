"""Tests of all commands with a fake platform in the same process."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
import urllib.parse

import anyio
import msgspec
from absl import flags
from absl.testing import flagsaver

from daisyhub.accounting import (
    Ledger,
    SealedWindow,
    StoredReport,
    UsageCount,
)
from daisyhub.cli._base import Context, ExitCode
from daisyhub.cli._main import COMMANDS, run_command
from daisyhub.connections import HttpResponse, RequestFailedError
from daisyhub.exceptions import ExecutionStatus
from daisyhub.hosting import EndpointRecord
from daisyhub.testing.fake_app import Request
from daisyhub.testing.fake_platform import FakePlatform

SETTINGS = {
    "platform_address": {"ip": "127.0.0.1", "port": 1},
    "key_hash_secret": "5f" * 32,
    "daemons": {"d0": {"ip": "127.0.0.1", "port": 2}},
}
STATUS = {
    "failure_domain": "busan",
    "is_ready": True,
    "config": {"version": 1},
    "news": {"platform": True},
    "open_requests": 0,
    "weights": {"fencing": 1},
    "orders": {"fencing": 0},
    "usage": {"fencing": 0},
    "lots": {"l1": {"held": True, "remaining": 3, "fencing": 1}},
}


class InProcessHttpClient:
    """HTTP client that calls the fake platform without a socket.

    Port 2 is a daemon.
    """

    def __init__(self, platform):
        self.platform = platform
        self.is_down = False
        self.status = STATUS

    async def request(self, method, address, target, *, body=b"", timeout_s):
        if self.is_down:
            raise RequestFailedError("down", ran=ExecutionStatus.NOT_RUN)
        if address.port == 2:
            if self.status is None:
                raise RequestFailedError("down", ran=ExecutionStatus.NOT_RUN)
            return _response(200, self.status)
        url = urllib.parse.urlsplit(target)
        call = Request(
            method=method,
            path=urllib.parse.unquote(url.path),
            query=dict(urllib.parse.parse_qsl(url.query)),
            headers={},
            body=body,
        )
        response = await self.platform.handle(call)
        return _response(response.status, response.value)

    async def aclose(self):
        """Does nothing; there are no connections."""


class CommandsTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(_temporary_folder()))
        if not flags.FLAGS.is_parsed():
            flags.FLAGS.mark_as_parsed()
        path = self.write("operator.jsonc", SETTINGS)
        self.enterContext(flagsaver.flagsaver(settings=path, output="json"))
        self.platform = FakePlatform()
        self.http = InProcessHttpClient(self.platform)

    def write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def run_cli(self, *args, code=ExitCode.OK, **flag_values):
        """Returns the printed rows, or stderr if nothing was printed."""
        command = next(c for c in COMMANDS if c.name == args[0])
        out, err = io.StringIO(), io.StringIO()
        ctx = Context()
        ctx.http = self.http
        with (
            flagsaver.flagsaver(**flag_values),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            exit_code = run_command(command, list(args[1:]), ctx)
        self.assertEqual(exit_code, code, err.getvalue())
        return json.loads(out.getvalue()) if out.getvalue() else err.getvalue()

    def apply(self, document, **options):
        path = self.write("config.jsonc", document)
        options.setdefault("team", "yard")
        return self.run_cli("apply", path, **options)

    def test_changes_are_merged_and_conflicts_name_both_teams(self):
        accounts = {"a": {"weight": 1}, "b": {"weight": 1}}
        self.apply({"client_accounts": accounts})
        first = {"client_accounts": {**accounts, "a": {"weight": 2}}}
        second = {"client_accounts": {**accounts, "b": {"weight": 3}}}
        self.apply(first, base=1)
        rows = self.apply(second, base=1, team="lab")
        self.assertEqual(rows[0]["version"], 3)
        path = self.write("merged.jsonc", {"client_accounts": accounts})
        rows = self.run_cli("diff", path)
        self.assertEqual([row["before"]["weight"] for row in rows], [2, 3])
        conflicting = {"client_accounts": {**accounts, "a": {"weight": 9}}}
        text = self.apply(
            conflicting, base=1, team="lab", code=ExitCode.CONFLICT
        )
        for part in ("'lab'", "'yard'", "client_accounts", "version 2: a"):
            self.assertIn(part, text)
        refused = self.run_cli("audit", "refused")
        self.assertEqual([row["team"] for row in refused], ["lab"])
        self.run_cli("revert-to", "1", team="yard")
        rows = self.run_cli("history")
        self.assertEqual([row["version"] for row in rows], [1, 2, 3, 4])
        self.assertEqual(self.run_cli("diff", path), [])
        self.run_cli("revert-to", "9", team="yard", code=ExitCode.USAGE)

    def test_only_owners_can_change_a_section(self):
        owners = {"owners": ["lead"], "client_accounts": ["yard"]}
        self.apply({"owners": owners}, team="lead")
        accounts = {"client_accounts": {"a": {}}}
        self.apply(accounts)
        text = self.apply(
            {"client_accounts": {}}, team="lab", code=ExitCode.CONFLICT
        )
        self.assertIn("belongs to team 'yard', not to 'lab'", text)
        takeover = {"owners": {"owners": ["yard"]}}
        self.apply(takeover, code=ExitCode.CONFLICT)
        no_owner = {"owners": {"keys": ["yard"]}}
        self.apply(no_owner, team="lead", code=ExitCode.INVALID)

    def test_merge_that_breaks_references_is_rejected(self):
        self.apply({"endpoint_pools": {"p": {"kind": "service"}}})
        pools = {"endpoint_pools": {"q": {"kind": "service"}}}
        self.apply(pools, base=1)
        routes = {"routes": {"r": {"path_prefix": "/", "pool": "p"}}}
        whole = routes | {"endpoint_pools": {"p": {"kind": "service"}}}
        self.apply(whole, base=1, code=ExitCode.INVALID)

    def test_large_sections_are_split_over_several_values(self):
        # More than 1 MB, the maximum size of one value on the platform.
        accounts = {f"{n:0>120}": {"weight": 1} for n in range(8000)}
        self.apply({"client_accounts": accounts})
        accounts[f"{7:0>120}"] = {"weight": 2}
        rows = self.apply({"client_accounts": accounts})
        self.assertEqual(rows[0]["version"], 2)

    def test_key_secret_is_not_stored_and_keys_are_withdrawn(self):
        self.apply({"client_accounts": {"a": {}}})
        row = self.run_cli("key", "create", "a", team="yard")[0]
        secret = row["key"].rpartition("_")[2]
        objects = anyio.run(self.platform.handle, _call("/objects"))
        self.assertNotIn(secret.encode(), msgspec.json.encode(objects.value))
        self.run_cli("key", "withdraw", row["key_id"])
        listed = self.run_cli("key", "list")
        self.assertEqual(listed[0]["state"], "withdrawn")
        self.assertEqual(len(self.run_cli("audit", "keys")), 1)
        self.run_cli(
            "key", "create", "no one", team="yard", code=ExitCode.INVALID
        )

    def list_endpoint(self):
        record = EndpointRecord(endpoint_id="e", pool="p", ip="::1", port=1)
        body = msgspec.json.encode([record])
        put = _call("/admin/endpoints/busan", "PUT", body)
        anyio.run(self.platform.handle, put)

    def test_endpoint_list_shows_announcements_before_the_list_does(self):
        """Nothing showed an announcement while the list lagged behind."""
        self.list_endpoint()
        # The fake platform can list no orders only in a single event loop.
        self.run_cli("endpoint", "drain", "busan", "e")
        for health, incarnation, expected in (
            ("leaving", 1, ["d0"]),
            ("live", 1, []),
            ("suspect", 1, []),
            # Of another start.
            ("leaving", 2, []),
        ):
            with self.subTest(f"{health} {incarnation}"):
                shown = {"health": health, "incarnation": incarnation}
                self.http.status = {**STATUS, "endpoints": {"e": shown}}
                (row,) = self.run_cli("endpoint", "list", "busan")
                self.assertEqual(row["state"], "live")
                self.assertEqual(row["leaving_at"], expected)
        for status in (None, STATUS):
            self.http.status = status
            (row,) = self.run_cli("endpoint", "list", "busan")
            self.assertEqual(row["leaving_at"], [])

    def test_endpoint_lot_usage_and_status_commands(self):
        self.list_endpoint()
        self.run_cli("endpoint", "drain", "busan", "e")
        rows = self.run_cli("endpoint", "list", "busan")
        self.assertTrue(rows[0]["drained"])
        self.run_cli("endpoint", "drain", "busan", "f", code=ExitCode.USAGE)
        self.assertEqual(self.run_cli("lot", "list")[0]["lot"], "l1")
        self.run_cli("lot", "show", "l2", code=ExitCode.INVALID)
        self.assertEqual(self.run_cli("usage", "show"), [])
        self.store_ledger()
        (row,) = self.run_cli("usage", "show", "busan")
        self.assertEqual((row["account"], row["requests"]), ("yard", 3))
        self.assertEqual(self.run_cli("usage", "show", "ulsan"), [])
        self.assertEqual(self.run_cli("status")[0]["version"], 1)

    def store_ledger(self):
        """Stores a ledger with one unreported window."""
        counts = (UsageCount(account="yard", requests=3),)
        sealed = SealedWindow(failure_domain="busan", window=60, counts=counts)
        body = msgspec.json.encode(sealed).decode()
        report = StoredReport(window=60, body=body)
        ledger = Ledger(window=60, unreported=(report,))
        call = Request(
            method="PUT",
            path="/objects/sealed/busan",
            query={"expected": "0", "write_id": "w"},
            headers={},
            body=msgspec.json.encode(ledger),
        )
        anyio.run(self.platform.handle, call)

    def test_unreachable_platform_is_reported(self):
        self.http.is_down = True
        self.run_cli("history", code=ExitCode.UNAVAILABLE)
        self.run_cli("status", code=ExitCode.UNAVAILABLE)
        self.run_cli("history", settings="", code=ExitCode.USAGE)


def _response(status, value):
    body = msgspec.json.encode(value)
    return HttpResponse(status=status, headers=(), body=body)


def _call(path, method="GET", body=b""):
    return Request(method=method, path=path, query={}, headers={}, body=body)


def _temporary_folder():
    return tempfile.TemporaryDirectory(prefix="daisyhub-cli-")
