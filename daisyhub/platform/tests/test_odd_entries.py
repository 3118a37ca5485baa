"""One odd object of another writer costs that object alone.

A deeply nested entry, or one lone surrogate in it, made the whole list of
servers unreadable, so that daemons stopped following it. Ports out of range
failed look-ups.
"""

import unittest
from unittest import mock

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from daisyhub.balancing import EndpointDirectory, LapseWindow
from daisyhub.connections import HttpResponse
from daisyhub.fleet_settings import parse_address
from daisyhub.logs import DecisionLog
from daisyhub.metrics import Metrics
from daisyhub.objects import (
    KindWatcher,
    ObjectList,
    ObjectStoreError,
    StoredObject,
    is_same_json,
)
from daisyhub.platform._engines import (
    PlatformEngineClient,
    PlatformVersionReader,
)
from daisyhub.platform._server_list import ServerList
from daisyhub.platform._servers import SERVERS_KIND
from daisyhub.platform._store import PlatformStore
from daisyhub.settings import Address

ADDRESS = Address(ip="127.0.0.1", port=1)
SOUND = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "version": "v1",
    "born": 1_700_000_000_000,
    "slots": 6,
}


def nest(depth, inner="1"):
    return "[" * depth + inner + "]" * depth


def spec(**texts):
    """Returns a sound entry with some fields replaced by JSON texts."""
    fields = {k: msgspec.json.encode(v).decode() for k, v in SOUND.items()}
    fields.update(texts)
    return "{" + ",".join(f'"{k}":{v}' for k, v in fields.items()) + "}"


# Entries that name no server to use, and some that do.
UNUSABLE = {
    "nested field": spec(slots=nest(3000)),
    "nested spec": nest(3000),
    "nested objects": '{"a":' * 3000 + "1" + "}" * 3000,
    "port 99999": spec(address='"10.0.0.1:99999"'),
    "port 65536": spec(address='"10.0.0.1:65536"'),
    "port 0": spec(address='"10.0.0.1:0"'),
    "digits of another script": spec(address='"10.0.0.1:\u0668\u0660"'),
    "host name": spec(address='"localhost:80"'),
    "empty address": spec(address='""'),
    "surrogate in the address": spec(address='"10.0.0.1\\ud800:80"'),
    "surrogate in the zone": spec(zone='"\\ud800"'),
    "invalid UTF-8": spec(zone='"\udcff"'),
    "huge start": spec(born="1" * 400),
    "huge slots": spec(slots="1" + "0" * 30),
    "negative slots": spec(slots="-3"),
    "negative start": spec(born="-1"),
    "huge version": spec(models='[{"name":"m","version":' + "9" * 30 + "}]"),
    "infinite coldness": spec(**{"cold-left-ms": "1e999"}),
    "null": "null",
    "number": "7",
    "unknown state": spec(state='"gone"'),
}
USABLE = {
    "nested unknown field": spec(extra=nest(100)),
    "long number in an unknown field": spec(extra="1" * 4300),
    "long version": spec(version='"' + "v" * 40 + '"'),
}


def encode_object(name, revision, text):
    metadata = f'{{"name":"{name}","revision":{revision},"finalizers":[]}}'
    return f'{{"metadata":{metadata},"spec":{text},"status":null}}'


def encode_page(*objects):
    text = f'{{"items":[{",".join(objects)}],"has-more":false,"at":50}}'
    try:
        return text.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        # Other lone surrogates stand for no byte; a writer may encode them.
        return text.encode("utf-8", "surrogatepass")


def encode_batch(*objects):
    events = ",".join(f'{{"object":{o},"deleted":false}}' for o in objects)
    text = f'{{"events":[{events}],"at":50}}'
    return text.encode("utf-8", "surrogateescape")


class FakeHttp:
    """Responds to each call with the same body."""

    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    async def request(self, *_, **__):
        return HttpResponse(status=self.status, headers=(), body=self.body)


def make_store(body, **fields):
    return PlatformStore(ADDRESS, FakeHttp(body), 1.0, **fields)


class FollowedServers:
    """A daemon's list of servers."""

    def __init__(self):
        self.lines = []
        log = DecisionLog("d", write=self.lines.append)
        self.metrics = Metrics()
        self.directory = EndpointDirectory(lambda _: 0.0)
        nothing = mock.Mock()
        servers = ServerList(
            self.directory,
            nothing,
            nothing,
            LapseWindow(lambda: -1e9),
            self.metrics,
            log,
        )
        self.watcher = KindWatcher(None, SERVERS_KIND, log, servers.on_change)

    def list_page(self, body):
        self.watcher._apply_list(anyio.run(make_store(body).list_all, "s"))

    def names(self):
        return {e.entry.endpoint_id for e in self.directory.all()}

    def entries(self):
        return {e.entry.endpoint_id: e.entry for e in self.directory.all()}

    def lines_of(self, event):
        decoded = [msgspec.json.decode(line) for line in self.lines]
        return [line for line in decoded if line["event"] == event]


class OddServerTest(unittest.TestCase):
    def test_an_odd_entry_costs_no_other(self):
        for kind, text in (UNUSABLE | USABLE).items():
            for encode in (encode_page, encode_batch):
                with self.subTest(kind, encode=encode.__name__):
                    store = make_store(
                        encode(
                            encode_object("a", 1, spec()),
                            encode_object("odd", 2, text),
                            encode_object("b", 3, spec()),
                        )
                    )
                    if encode is encode_page:
                        found = anyio.run(store.list_all, "s").items
                    else:
                        found = anyio.run(self.watch, store).changes
                    self.assertEqual(
                        [(o.name, o.revision) for o in found],
                        [("a", 1), ("odd", 2), ("b", 3)],
                    )

    async def watch(self, store):
        return await store.watch("s", after_revision=0, wait_s=0.1)

    def test_sound_servers_are_followed_beside_an_odd_one(self):
        for kind, text in UNUSABLE.items():
            with self.subTest(kind):
                followed = FollowedServers()
                followed.list_page(
                    encode_page(
                        encode_object("a", 1, spec()),
                        encode_object("odd", 2, text),
                        encode_object("b", 3, spec()),
                    )
                )
                self.assertEqual(followed.names(), {"a", "b"})
                (line,) = followed.lines_of("endpoint_unreadable")
                self.assertEqual((line["name"], line["revision"]), ("odd", 2))
                counted = followed.metrics.render()
                self.assertIn("entries_unreadable", counted)

    def test_usable_entries_of_other_writers_are_used(self):
        for kind, text in USABLE.items():
            with self.subTest(kind):
                followed = FollowedServers()
                followed.list_page(encode_page(encode_object("x", 1, text)))
                self.assertEqual(followed.names(), {"x"})

    def test_a_server_whose_entry_becomes_odd_is_used_no_more(self):
        followed = FollowedServers()
        for revision, text, expected in (
            (1, spec(), {"a"}),
            (2, spec(slots=nest(3000)), set()),
            (3, spec(), {"a"}),
        ):
            followed.list_page(encode_page(encode_object("a", revision, text)))
            self.assertEqual(followed.names(), expected)

    def test_an_odd_entry_that_is_rewritten_is_logged_once(self):
        """Its writer may rewrite it each second."""
        followed = FollowedServers()
        for revision in range(1, 6):
            text = spec(sequence=str(revision), state='"gone"')
            followed.list_page(encode_page(encode_object("a", revision, text)))
        self.assertEqual(len(followed.lines_of("endpoint_unreadable")), 1)

    @settings(max_examples=150, deadline=None)
    @given(
        st.one_of(
            st.sampled_from(sorted(UNUSABLE.values())),
            st.binary(max_size=40).map(lambda b: '"' + b.hex() + '"'),
            st.integers().map(str),
            st.floats(allow_nan=False, allow_infinity=False).map(str),
            st.text(
                st.characters(exclude_characters='"\\', min_codepoint=32),
                max_size=20,
            ).map(lambda t: f'"{t}"'),
            st.integers(1, 5000).map(nest),
            st.sampled_from(["\\ud800", "\\udc00", "\udcff", "\\u0000"]).map(
                lambda t: f'{{"service":"{t}"}}'
            ),
        ),
        st.sampled_from([None, *SOUND, "spot", "models", "cold-left-ms"]),
        st.integers(0, 2),
    )
    def test_nothing_in_an_entry_changes_what_is_known_of_others(
        self, text, field, place
    ):
        odd = text if field is None else spec(**{field: text})
        objects = [encode_object("a", 1, spec()), encode_object("b", 2, spec())]
        plain, beside = FollowedServers(), FollowedServers()
        plain.list_page(encode_page(*objects))
        objects.insert(place, encode_object("odd", 3, odd))
        beside.list_page(encode_page(*objects))
        entries = beside.entries()
        entries.pop("odd", None)
        self.assertEqual(entries, plain.entries())


class OddPageTest(unittest.TestCase):
    def test_an_object_without_a_readable_name_is_left_out_and_told(self):
        told = []
        store = make_store(
            encode_page(
                encode_object("a", 1, "1"),
                '{"metadata":{"name":' + nest(3000) + '},"spec":1}',
                "7",
                encode_object("b", 2, "2"),
            ),
            on_unreadable=lambda kind, reason: told.append(kind),
        )
        found = anyio.run(store.list_all, "s").items
        self.assertEqual([o.name for o in found], ["a", "b"])
        self.assertEqual(told, ["s", "s"])

    def test_a_page_that_is_cut_or_damaged_is_no_page(self):
        """An entry that is left out of a list counts as removed."""
        whole = encode_page(
            encode_object("a", 1, spec(slots=nest(3000))),
            encode_object("b", 2, spec()),
        )
        for body in (
            whole[:-1],
            whole[: len(whole) // 2],
            whole + b"}",
            whole.replace(b'"at":50', b'"at":[]'),
            whole.replace(b'"items":[', b'"items":{', 1),
            whole[:-3] + b'"' + whole[-3:],
            b"",
            b"\xff" * 40,
            b"[" * 5000,
        ):
            with self.subTest(body[-20:]), self.assertRaises(ObjectStoreError):
                anyio.run(make_store(body).list_all, "s")

    def test_a_deeply_nested_object_is_read(self):
        body = encode_object("a", 4, nest(3000)).encode()
        found = anyio.run(make_store(body).read, "s", "a")
        self.assertEqual((found.name, found.revision), ("a", 4))


class OddValueTest(unittest.IsolatedAsyncioTestCase):
    def test_another_writers_object_is_no_value_of_ours(self):
        deep = nest(3000).encode()
        self.assertFalse(is_same_json(deep, b"{}"))
        self.assertFalse(is_same_json(b"{}", deep))

    def test_a_nested_weight_version_is_invalid(self):
        found = StoredObject(
            kind="versions",
            name="m",
            revision=1,
            is_deleted=False,
            spec=nest(3000).encode(),
            status=b"null",
        )
        with self.assertRaises(ValueError):
            PlatformVersionReader().read(found)

    async def test_a_nested_report_is_no_report(self):
        lines = []
        log = DecisionLog("d", write=lines.append)
        for body in (nest(3000), f'{{"models":{nest(3000)}}}'):
            client = PlatformEngineClient(FakeHttp(body.encode()), log)
            response = await client.report(ADDRESS, lambda: True)
            self.assertIsNone(response.report)

    def test_addresses_are_an_ip_and_a_port(self):
        for text in ("10.0.0.1:1", "127.0.0.1:65535", "::1:80"):
            self.assertEqual(str(parse_address(text)), text)
        for text in (
            "",
            ":80",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1:" + "9" * 5000,
            "10.0.0.1:-1",
            "10.0.0.1:+1",
            "10.0.0.1:\u00b2",
            "10.0.0.1:\u0668\u0660",
            "localhost:80",
            "10.0.0\ud800.1:80",
        ):
            with self.subTest(text[:20]), self.assertRaises(ValueError):
                parse_address(text)


class FaultyListenerTest(unittest.TestCase):
    def test_a_watcher_goes_on_after_a_change_that_fails(self):
        lines, seen = [], []

        def on_change(found):
            if found.name == "odd":
                raise OverflowError("too large")
            seen.append(found.name)

        log = DecisionLog("d", write=lines.append)
        watcher = KindWatcher(None, "k", log, on_change)
        items = tuple(
            StoredObject(
                kind="k",
                name=name,
                revision=n,
                is_deleted=False,
                spec=b"1",
                status=b"null",
            )
            for n, name in enumerate(("a", "odd", "b"), 1)
        )
        watcher._apply_list(ObjectList(revision=3, items=items))
        self.assertEqual(seen, ["a", "b"])
        (line,) = map(msgspec.json.decode, lines)
        self.assertEqual(
            (line["event"], line["name"], line["revision"]),
            ("change_failed", "odd", 2),
        )


if __name__ == "__main__":
    unittest.main()
