"""Repeats of a request are recognized by their content."""

import dataclasses
import unittest

from daisyhub.testing.send_tasks import make_send_task

TASK = make_send_task(account="t", headers=((b"a", b"b"),))


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
        long = self.digest(target="/xb", body=b"")
        self.assertNotEqual(long, self.digest())
