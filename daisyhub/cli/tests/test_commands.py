"""Every command against a platform in the same process."""

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


class DirectHttp:
    """Calls the fake platform without a socket; port 2 is a daemon."""

    def __init__(self, platform):
        self.platform = platform
        self.is_down = False

    async def request(self, method, address, target, *, body=b"", timeout_s):
        if self.is_down:
            raise RequestFailedError("down", ran=ExecutionStatus.NOT_RUN)
        if address.port == 2:
            return _answer(200, STATUS)
        url = urllib.parse.urlsplit(target)
        call = Request(
            method=method,
            path=urllib.parse.unquote(url.path),
            query=dict(urllib.parse.parse_qsl(url.query)),
            headers={},
            body=body,
        )
        reply = await self.platform.handle(call)
        return _answer(reply.status, reply.value)

    async def aclose(self):
        """Has nothing to close."""


class Commands(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(_folder()))
        if not flags.FLAGS.is_parsed():
            flags.FLAGS.mark_as_parsed()
        path = self.write("operator.jsonc", SETTINGS)
        self.enterContext(flagsaver.flagsaver(settings=path, output="json"))
        self.platform = FakePlatform()
        self.http = DirectHttp(self.platform)

    def write(self, name, value):
        path = self.folder / name
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def run_cli(self, *words, code=ExitCode.OK, **flag_values):
        """Returns the rows printed, or what went to stderr."""
        command = next(c for c in COMMANDS if c.name == words[0])
        out, err = io.StringIO(), io.StringIO()
        ctx = Context()
        ctx.http = self.http
        with (
            flagsaver.flagsaver(**flag_values),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            found = run_command(command, list(words[1:]), ctx)
        self.assertEqual(found, code, err.getvalue())
        return json.loads(out.getvalue()) if out.getvalue() else err.getvalue()

    def apply(self, document, **options):
        path = self.write("config.jsonc", document)
        options.setdefault("team", "yard")
        return self.run_cli("apply", path, **options)

    def test_teams_merge_and_conflicts_name_both(self):
        accounts = {"a": {"weight": 1}, "b": {"weight": 1}}
        self.apply({"client_accounts": accounts})
        one = {"client_accounts": {**accounts, "a": {"weight": 2}}}
        two = {"client_accounts": {**accounts, "b": {"weight": 3}}}
        self.apply(one, base=1)
        rows = self.apply(two, base=1, team="lab")
        self.assertEqual(rows[0]["version"], 3)
        path = self.write("merged.jsonc", {"client_accounts": accounts})
        rows = self.run_cli("diff", path)
        self.assertEqual([row["before"]["weight"] for row in rows], [2, 3])
        clash = {"client_accounts": {**accounts, "a": {"weight": 9}}}
        text = self.apply(clash, base=1, team="lab", code=ExitCode.CONFLICT)
        for word in ("'lab'", "'yard'", "client_accounts", "version 2: a"):
            self.assertIn(word, text)
        refused = self.run_cli("audit", "refused")
        self.assertEqual([row["team"] for row in refused], ["lab"])
        self.run_cli("revert-to", "1", team="yard")
        rows = self.run_cli("history")
        self.assertEqual([row["version"] for row in rows], [1, 2, 3, 4])
        self.assertEqual(self.run_cli("diff", path), [])
        self.run_cli("revert-to", "9", team="yard", code=ExitCode.USAGE)

    def test_owners_bind(self):
        owners = {"owners": ["lead"], "client_accounts": ["yard"]}
        self.apply({"owners": owners}, team="lead")
        accounts = {"client_accounts": {"a": {}}}
        self.apply(accounts)
        text = self.apply(
            {"client_accounts": {}}, team="lab", code=ExitCode.CONFLICT
        )
        self.assertIn("belongs to team 'yard', not to 'lab'", text)
        taken = {"owners": {"owners": ["yard"]}}
        self.apply(taken, code=ExitCode.CONFLICT)
        no_owner = {"owners": {"keys": ["yard"]}}
        self.apply(no_owner, team="lead", code=ExitCode.INVALID)

    def test_a_merge_that_breaks_references_is_refused(self):
        self.apply({"endpoint_pools": {"p": {"kind": "service"}}})
        pools = {"endpoint_pools": {"q": {"kind": "service"}}}
        self.apply(pools, base=1)
        routes = {"routes": {"r": {"path_prefix": "/", "pool": "p"}}}
        whole = routes | {"endpoint_pools": {"p": {"kind": "service"}}}
        self.apply(whole, base=1, code=ExitCode.INVALID)

    def test_sections_beyond_one_value_are_split(self):
        accounts = {f"{n:0>120}": {"weight": 1} for n in range(8000)}
        self.apply({"client_accounts": accounts})
        accounts[f"{7:0>120}"] = {"weight": 2}
        rows = self.apply({"client_accounts": accounts})
        self.assertEqual(rows[0]["version"], 2)

    def test_keys_are_shown_once_and_withdrawn(self):
        self.apply({"client_accounts": {"a": {}}})
        row = self.run_cli("key", "create", "a", team="yard")[0]
        secret = row["key"].rpartition("_")[2]
        objects = anyio.run(self.platform.handle, _get("/objects"))
        self.assertNotIn(secret.encode(), msgspec.json.encode(objects.value))
        self.run_cli("key", "withdraw", row["key_id"])
        listed = self.run_cli("key", "list")
        self.assertEqual(listed[0]["state"], "withdrawn")
        self.assertEqual(len(self.run_cli("audit", "keys")), 1)
        self.run_cli(
            "key", "create", "no one", team="yard", code=ExitCode.INVALID
        )

    def test_endpoints_lots_usage_and_status(self):
        record = EndpointRecord(endpoint_id="e", pool="p", ip="::1", port=1)
        body = msgspec.json.encode([record])
        put = _get("/admin/endpoints/busan", "PUT", body)
        anyio.run(self.platform.handle, put)
        self.run_cli("endpoint", "drain", "busan", "e")
        rows = self.run_cli("endpoint", "list", "busan")
        self.assertTrue(rows[0]["drained"])
        self.run_cli("endpoint", "drain", "busan", "f", code=ExitCode.USAGE)
        self.assertEqual(self.run_cli("lot", "list")[0]["lot"], "l1")
        self.run_cli("lot", "show", "l2", code=ExitCode.INVALID)
        self.assertEqual(self.run_cli("usage", "show"), [])
        self.put_ledger()
        (row,) = self.run_cli("usage", "show", "busan")
        self.assertEqual((row["account"], row["requests"]), ("yard", 3))
        self.assertEqual(self.run_cli("usage", "show", "ulsan"), [])
        self.assertEqual(self.run_cli("status")[0]["version"], 1)

    def put_ledger(self):
        """Stores a ledger with one window that isn't reported yet."""
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

    def test_a_platform_that_is_down_is_told(self):
        self.http.is_down = True
        self.run_cli("history", code=ExitCode.UNAVAILABLE)
        self.run_cli("status", code=ExitCode.UNAVAILABLE)
        self.run_cli("history", settings="", code=ExitCode.USAGE)


def _answer(status, value):
    body = msgspec.json.encode(value)
    return HttpResponse(status=status, headers=(), body=body)


def _get(path, method="GET", body=b""):
    return Request(method=method, path=path, query={}, headers={}, body=body)


def _folder():
    return tempfile.TemporaryDirectory(prefix="daisyhub-cli-")
