"""Property test: no key reaches an endpoint; only the key sets the account.

Requests with generated headers, paths, queries and bodies, any of which may
contain a key, pass through the filter chain to a fake endpoint.
"""

import asyncio
import os
import re
import time
import unittest
import urllib.parse
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from daisyhub.balancing import EndpointTable, RoundRobin
from daisyhub.config import ClientKey, Document, Route
from daisyhub.connections import HttpResponse
from daisyhub.exceptions import Refusal
from daisyhub.filters import (
    ForwardFilter,
    IdentifyFilter,
    RouteFilter,
    RouteTable,
    ValidateFilter,
    build_chain,
)
from daisyhub.hosting import EndpointRecord
from daisyhub.identity import KeyTable, ParsedKey, hash_secret
from daisyhub.messages import Request
from daisyhub.metrics import Metrics
from daisyhub.problems import problem_response
from daisyhub.settings import LimitSettings

HASH_KEY = "5f" * 32
KEY = ParsedKey("yardkey", "ab" * 32)
OTHER = ParsedKey("otherkey", "cd" * 32)
KEY_TEXTS = tuple(f"dh_{key.key_id}_{key.secret}" for key in (KEY, OTHER))
EXAMPLES = int(os.environ.get("DAISYHUB_EXAMPLES", "400"))
SEED = os.environ.get("DAISYHUB_SEED")

plain_texts = st.sampled_from(
    ["", "a", "b/c", "a=b", "a%20b", "dh_", "%", "&;{"]
)
key_texts = st.sampled_from(
    [
        *KEY_TEXTS,
        KEY_TEXTS[0].replace("_", "%5F"),
        KEY_TEXTS[0].replace("d", "%64"),
        urllib.parse.quote(KEY_TEXTS[0].replace("_", "%5f")),
    ]
)
texts = st.one_of(
    plain_texts,
    st.builds("".join, st.lists(plain_texts | key_texts, max_size=3)),
)
header_names = st.sampled_from(
    b"accept accept-language content-type cookie idempotency-key if-match"
    b" x-api-key proxy-authorization daisyhub-account forwarded".split()
)
headers = st.lists(st.tuples(header_names, texts.map(str.encode)), max_size=4)
account_headers = st.sampled_from(
    [(), *[((b"authorization", f"Bearer {t}".encode()),) for t in KEY_TEXTS]]
)


class FakeClient:
    """Records the requests that would be sent to an endpoint."""

    def __init__(self):
        self.sent = []

    async def request(self, method, address, target, *, headers, body, **_):
        self.sent.append((target, headers, body))
        return HttpResponse(status=200, headers=(), body=b"")


class KeyPropertyTest(unittest.TestCase):
    def setUp(self):
        keys = KeyTable(HASH_KEY)
        keys.replace_keys(
            {
                key.key_id: ClientKey(
                    account=account,
                    secret_hash=hash_secret(key.secret, HASH_KEY),
                )
                for key, account in ((KEY, "yard"), (OTHER, "archive"))
            }
        )
        route = Route(path_prefix="/", pool="p", methods=("GET", "POST"))
        routes = RouteTable(Document(routes={"all": route}))
        table = EndpointTable()
        table.apply_list(
            [EndpointRecord(endpoint_id="e", pool="p", ip="127.0.0.1", port=1)]
        )
        self.forwarded_count = 0
        self.client = FakeClient()
        limits = LimitSettings()
        forward = ForwardFilter(
            table, RoundRobin(0), self.client, limits, Metrics()
        )
        self.chain = build_chain(
            (
                IdentifyFilter(keys),
                RouteFilter(lambda: routes),
                ValidateFilter(limits),
                forward,
            )
        )

    def send(self, path, query, headers, body):
        """Returns the texts that a client or a log could show."""

        async def read_body(_, **__):
            return body

        req = Request(
            request_id="r",
            method="POST",
            path="/" + path,
            query=query,
            host="h",
            headers=tuple(headers),
            read_body=read_body,
            started_s=time.monotonic(),
            deadline_s=1e12,
        )
        try:
            asyncio.run(self.chain(req))
            visible = ""
        except Refusal as exc:
            visible = str(problem_response(exc, "r")) + repr(exc)
        return visible + repr(req)

    def check(self, path, query, other_headers, key_header, body):
        self.client.sent.clear()
        visible = self.send(
            path, query, [*other_headers, *key_header], body.encode()
        )
        self.assertFalse(has_secret(visible), visible)
        self.forwarded_count += len(self.client.sent)
        for target, sent, content in self.client.sent:
            self.assertFalse(has_secret(target), target)
            self.assertFalse(has_secret(str((sent, content))), sent)
            account = {KEY_TEXTS[0]: b"yard", KEY_TEXTS[1]: b"archive"}
            key_text = key_header[0][1].decode().removeprefix("Bearer ")
            accounts = [v for n, v in sent if n == b"daisyhub-account"]
            self.assertEqual(accounts, [account[key_text]])

    def test_no_key_reaches_an_endpoint(self):
        settings = hypothesis.settings(
            max_examples=EXAMPLES,
            derandomize=SEED is None,
            database=None,
            deadline=None,
        )
        run = settings(
            hypothesis.given(texts, texts, headers, account_headers, texts)(
                self.check
            )
        )
        if SEED is not None:
            run = hypothesis.seed(int(SEED))(run)
        run()
        # Guards against examples that are nearly all refused.
        self.assertGreater(self.forwarded_count, EXAMPLES / 20)

    def test_detects_an_unrestricted_header_list(self):
        name = "daisyhub.filters._forward.REQUEST_HEADERS"
        with (
            mock.patch(name, AllHeaders()),
            self.assertRaises(AssertionError) as caught,
        ):
            self.test_no_key_reaches_an_endpoint()
        self.assertIn("ab", str(caught.exception))

    def test_repr_omits_the_secret(self):
        self.assertNotIn(KEY.secret, repr(KEY))


class AllHeaders:
    """Broken: contains every header name."""

    def __contains__(self, _):
        return True


def has_secret(text):
    """Returns whether `text` contains a secret, plain or percent-encoded."""
    for _ in range(4):
        text = urllib.parse.unquote(text, "latin-1")
    return re.search("(ab){32}|(cd){32}", text) is not None
