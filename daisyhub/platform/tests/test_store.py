"""Calls to the store say "not done" only where the platform's pages do."""

import unittest

from daisyhub.connections import HttpResponse, RequestFailedError
from daisyhub.exceptions import ExecutionStatus
from daisyhub.objects import ObjectConflictError, ObjectStoreError
from daisyhub.platform._store import PlatformStore
from daisyhub.settings import Address

OBJECT = b'{"metadata":{"name":"n","revision":7},"spec":1,"status":null}'
READS = {
    "read": lambda store: store.read("k", "n"),
    "list": lambda store: store.list_all("k"),
    "watch": lambda store: store.watch("k", after_revision=1, wait_s=0.1),
}
WRITES = {
    "create": lambda store: store.create("k", "n", b"1"),
    "replace": lambda store: store.replace("k", "n", b"1", revision=6),
    "set_status": lambda store: store.set_status("k", "n", b"1"),
    "delete": lambda store: store.delete("k", "n"),
}


class FakeHttp:
    """Responds to each call alike, or raises an error."""

    def __init__(self, result, body=b""):
        self._result = result
        self._body = body

    async def request(self, *_, **__):
        if isinstance(self._result, Exception):
            raise self._result
        return HttpResponse(status=self._result, headers=(), body=self._body)


def new_store(result, body=b""):
    address = Address(ip="127.0.0.1", port=1)
    return PlatformStore(address, FakeHttp(result, body), 1.0)


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def get_failure(self, call, result, body=b""):
        with self.assertRaises(ObjectStoreError) as caught:
            await call(new_store(result, body))
        return caught.exception

    async def test_only_status_503_says_that_a_write_was_not_done(self):
        for verb, call in WRITES.items():
            for status in (429, 503, 400, 408, 410, 500, 502, 504):
                failure = await self.get_failure(call, status)
                self.assertEqual(
                    failure.may_be_done, status != 503, (verb, status)
                )

    async def test_only_status_429_says_that_a_call_was_throttled(self):
        for verb, call in WRITES.items():
            for status in (429, 503, 400, 408, 410, 500, 502, 504):
                failure = await self.get_failure(call, status)
                self.assertEqual(
                    failure.is_throttled, status == 429, (verb, status)
                )

    async def test_a_write_without_response_may_be_done_once_it_was_sent(self):
        for verb, call in WRITES.items():
            for ran in ExecutionStatus:
                failure = await self.get_failure(
                    call, RequestFailedError("cut", ran=ran)
                )
                self.assertEqual(
                    failure.may_be_done,
                    ran is not ExecutionStatus.NOT_RUN,
                    (verb, ran),
                )

    async def test_failed_reads_have_no_effect(self):
        failures = (
            RequestFailedError("cut", ran=ExecutionStatus.UNKNOWN),
            500,
            503,
            200,
        )
        for verb, call in READS.items():
            for result in failures:
                failure = await self.get_failure(call, result, b"garbled")
                self.assertFalse(failure.may_be_done, (verb, result))

    async def test_a_write_with_a_garbled_response_may_be_done(self):
        for verb in ("create", "replace", "set_status"):
            for body in (b"", b"{", b"\xff", b"{}", b'{"metadata":7}'):
                failure = await self.get_failure(WRITES[verb], 200, body)
                self.assertTrue(failure.may_be_done, (verb, body))

    async def test_a_status_that_a_write_does_not_have_leaves_it_unknown(self):
        for verb, status in (
            ("create", 404),
            ("set_status", 409),
            ("delete", 409),
        ):
            failure = await self.get_failure(WRITES[verb], status, OBJECT)
            self.assertTrue(failure.may_be_done, (verb, status))

    async def test_a_conflict_has_the_object_only_if_the_response_has_it(self):
        for verb in ("create", "replace"):
            for body, revision in ((OBJECT, 7), (b"", None), (b"{}", None)):
                with self.assertRaises(ObjectConflictError) as caught:
                    await WRITES[verb](new_store(409, body))
                found = caught.exception.found
                self.assertEqual(found and found.revision, revision)

    async def test_a_replaced_object_that_is_gone_conflicts(self):
        with self.assertRaises(ObjectConflictError) as caught:
            await WRITES["replace"](new_store(404))
        self.assertIsNone(caught.exception.found)

    async def test_absent_objects_have_no_status_and_nothing_to_delete(self):
        self.assertIsNone(await WRITES["set_status"](new_store(404)))
        await WRITES["delete"](new_store(404))
