"""Answers to requests that the filter chain refuses."""

import unittest

from daisyhub.exceptions import ErrorCode, ExecutionStatus, Refusal
from daisyhub.gateway import GatewayApp
from daisyhub.logs import DecisionLog
from daisyhub.messages import Response
from daisyhub.metrics import Metrics
from daisyhub.platform._wire import PlatformCallerWire

PROMISES = {408, 421, 429, 503}
SCOPE = {
    "type": "http",
    "method": "POST",
    "raw_path": b"/p/x",
    "query_string": b"",
    "headers": [(b"host", b"h")],
}


async def receive_nothing():
    return {"type": "http.request", "body": b"", "more_body": False}


class ClosedStream:
    is_closed = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        raise StopAsyncIteration

    async def aclose(self):
        self.is_closed = True


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def answer(self, exc):
        """Returns the status of the answer to a request refused with `exc`."""

        async def refuse(_):
            raise exc

        return await self.answer_of(refuse)

    async def answer_of(self, handler):
        """Returns the status of the answer to a request to a chain."""
        messages = []

        async def send(message):
            messages.append(message)

        app = GatewayApp(
            handler,
            PlatformCallerWire(),
            Metrics(),
            DecisionLog("d", write=lambda _: True),
        )
        await app(SCOPE, receive_nothing, send)
        return messages[0]["status"]

    async def test_a_request_that_may_have_run_gets_no_status_that_denies_it(
        self,
    ):
        for error in ErrorCode:
            for ran in (ExecutionStatus.UNKNOWN, ExecutionStatus.RAN):
                with self.subTest(f"{error.label} {ran.value}"):
                    status = await self.answer(Refusal(error, "", ran=ran))
                    self.assertNotIn(status, PROMISES)

    async def test_a_refusal_that_is_known_not_run_keeps_its_status(self):
        for error in ErrorCode:
            with self.subTest(error.label):
                status = await self.answer(
                    Refusal(error, "", ran=ExecutionStatus.NOT_RUN)
                )
                self.assertEqual(status, error.status)

    def test_a_refusal_says_whether_the_request_has_run(self):
        with self.assertRaises(TypeError):
            Refusal(ErrorCode.OVERLOADED, "")

    async def test_a_response_that_is_no_refusal_promises_nothing(self):
        for status in PROMISES:
            for stream in (None, ClosedStream()):

                async def respond(_, status=status, stream=stream):
                    return Response(status=status, stream=stream)

                with self.subTest(status, stream=stream):
                    self.assertEqual(await self.answer_of(respond), 500)
                    self.assertTrue(stream is None or stream.is_closed)


if __name__ == "__main__":
    unittest.main()
