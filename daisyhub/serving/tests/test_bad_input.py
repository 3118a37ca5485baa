"""Invalid requests get the right 4xx status and reach no endpoint."""

import socket
import unittest

import anyio
import msgspec

from daisyhub.base import Filter
from daisyhub.config import ClientAccount, ClientKey, Document, Route
from daisyhub.filters import (
    IdentifyFilter,
    RouteFilter,
    RouteTable,
    ValidateFilter,
    build_chain,
)
from daisyhub.identity import KeyTable, hash_secret
from daisyhub.messages import Response
from daisyhub.metrics import Metrics
from daisyhub.serving import CallersApp, HttpServer
from daisyhub.settings import Address, LimitSettings

HASH_KEY = "ab" * 32
SECRET = "cd" * 32
KEY = f"Authorization: Bearer dh_abcd1234_{SECRET}\r\n"
HOST = "Host: records.example\r\n"


class EndFilter(Filter):
    """Replaces the endpoint; records the requests that reach it."""

    name = "end"

    def __init__(self):
        self.reached = []

    async def handle(self, req, call_next):
        self.reached.append(req)
        return Response(status=200, body=req.body)


def make_app(end):
    keys = KeyTable(HASH_KEY)
    entry = ClientKey(account="yard", secret_hash=hash_secret(SECRET, HASH_KEY))
    keys.replace_keys({"abcd1234": entry})
    route = Route(path_prefix="/records", pool="p", methods=("GET", "POST"))
    document = Document(
        client_accounts={"yard": ClientAccount()}, routes={"r": route}
    )
    table = RouteTable(document)
    chain = build_chain(
        [
            IdentifyFilter(keys),
            RouteFilter(lambda: table),
            ValidateFilter(LimitSettings(header_bytes=2048, body_bytes=4096)),
            end,
        ]
    )
    return CallersApp(chain, keys, Metrics(), "d")


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def send_raw(port, data):
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(data)
        received = b""
        with anyio.move_on_after(5):
            while b"\r\n\r\n" not in received:
                received += await stream.receive()
        return received


def exchange(requests):
    """Sends raw requests in sequence.

    Returns the raw responses and the requests that reached the endpoint.
    """
    end = EndFilter()
    responses = []

    async def run():
        port = free_port()
        address = Address(ip="127.0.0.1", port=port)
        server = HttpServer(make_app(end), address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run_until_stopped)
            while not server.started:
                await anyio.sleep(0.01)
            for data in requests:
                responses.append(await send_raw(port, data.encode("latin-1")))
            server.stop()

    anyio.run(run)
    return responses, end.reached


def get(path, headers=KEY, host=HOST):
    return f"GET {path} HTTP/1.1\r\n{host}{headers}\r\n"


def post(headers, body=""):
    return f"POST /records HTTP/1.1\r\n{HOST}{KEY}{headers}\r\n{body}"


# Raw requests and the expected status of their responses.
CASES = {
    "no key": (get("/records", ""), 401),
    "two keys": (get("/records", KEY + KEY), 400),
    "malformed key": (get("/records", "Authorization: Bearer x\r\n"), 400),
    "other scheme": (
        get("/records", KEY.replace("Bearer", "Basic")),
        400,
    ),
    "unknown key": (get("/records", KEY.replace("cdcd", "cdce")), 401),
    "key in the query": (get(f"/records?key=dh_abcd1234_{SECRET}"), 400),
    "unknown route": (get("/recordsx"), 404),
    "unknown method": (
        get("/records").replace("GET", "DELETE", 1),
        405,
    ),
    "dot segments": (get("/records/../admin"), 400),
    "encoded dots": (get("/records/%2e%2e/admin"), 400),
    "encoded slash": (get("/records%2f..%2fadmin"), 400),
    "double encoding": (get("/records/%252e%252e/a"), 400),
    "backslash": (get("/records/..\\admin"), 400),
    "empty segment": (get("//records"), 400),
    "two hosts": (get("/records", KEY + HOST), 400),
    "no host": (get("/records", host=""), 400),
    "long headers": (get("/records", KEY + f"X: {'a' * 4000}\r\n"), 431),
    "long body": (post("Content-Length: 5000\r\n", "a" * 5000), 413),
    "long chunked body": (
        post(
            "Transfer-Encoding: chunked\r\n",
            f"1388\r\n{'a' * 5000}\r\n0\r\n\r\n",
        ),
        413,
    ),
    "bad length": (post("Content-Length: x\r\n"), 400),
    "negative length": (post("Content-Length: -1\r\n"), 400),
    "two lengths": (
        post("Content-Length: 1\r\nContent-Length: 2\r\n", "aa"),
        400,
    ),
    "length and chunked": (
        post(
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\n",
        ),
        400,
    ),
    "bad timeout": (get("/records", KEY + "Daisyhub-Timeout-Ms: x\r\n"), 400),
    "two timeouts": (
        get("/records", KEY + "Daisyhub-Timeout-Ms: 10\r\n" * 2),
        400,
    ),
}


class BadInputTest(unittest.TestCase):
    def test_bad_input_gets_a_4xx_status_and_reaches_no_endpoint(self):
        responses, reached = exchange([data for data, _ in CASES.values()])
        self.assertEqual(reached, [])
        for (name, (_, status)), response in zip(
            CASES.items(), responses, strict=True
        ):
            with self.subTest(name):
                self.assertTrue(
                    response.startswith(f"HTTP/1.1 {status} ".encode()),
                    response,
                )

    def test_good_input_reaches_the_endpoint(self):
        responses, reached = exchange(
            [get("/records/1?a=b"), post("Content-Length: 2\r\n", "ab")]
        )
        self.assertEqual(len(reached), 2)
        self.assertTrue(all(b"200 OK" in response for response in responses))
        self.assertEqual(reached[0].account, "yard")

    def test_refusals_are_problem_documents(self):
        responses, _ = exchange([get("/records", "")])
        self.assertIn(b"application/problem+json", responses[0])
        body = responses[0].partition(b"\r\n\r\n")[2]
        problem = msgspec.json.decode(body)
        self.assertEqual(problem["code"], "key_missing")
        self.assertEqual(problem["ran"], "not_run")
