"""Repeats of a request are recognized by their content."""

import dataclasses
import unittest

from daisyhub.catalog import PoolShare, Route, RouteKind
from daisyhub.gateway import SendTask

ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.SAFE,
    shares=(PoolShare("p", 1.0),),
    timeout_s=5.0,
    target_latency_s=5.0,
    max_attempts=2,
)
TASK = SendTask(
    request_id="q",
    route=ROUTE,
    method="POST",
    target="/x",
    host="h",
    headers=((b"a", b"b"),),
    body=b"body",
    account="t",
    deadline_s=1.0,
)


class ContentDigestTest(unittest.TestCase):
    def digest(self, **fields):
        return dataclasses.replace(TASK, **fields).content_digest()

    def test_a_repeat_with_another_id_and_deadline_is_the_same(self):
        repeat = self.digest(request_id="r", deadline_s=9.0, headers=())
        self.assertEqual(repeat, self.digest())

    def test_other_content_is_another_request(self):
        digests = {
            self.digest(),
            self.digest(account="u"),
            self.digest(account=""),
            self.digest(method="GET"),
            self.digest(host="g"),
            self.digest(target="/y"),
            self.digest(body=b"other"),
            self.digest(body=b""),
        }
        self.assertEqual(len(digests), 8)

    def test_parts_can_not_be_shifted_into_each_other(self):
        one = self.digest(account="tP", method="OST")
        other = self.digest(account="t", method="POST")
        self.assertNotEqual(one, other)
        long = self.digest(target="/x4:body", body=b"")
        self.assertNotEqual(long, self.digest())
