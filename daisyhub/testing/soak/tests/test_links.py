"""Links forward bytes, reset connections or buffer bytes, by their mode."""

import contextlib
import unittest

import anyio

from daisyhub.settings import Address
from daisyhub.testing.soak import Link, LinkMode

# Errors of a read from a connection that was reset.
ENDED = (anyio.EndOfStream, anyio.BrokenResourceError)


async def echo(stream):
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await stream.send(await stream.receive())


@contextlib.asynccontextmanager
async def linked():
    """Yields a link to an echo server, and a connection through the link."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    link = Link(Address(ip="127.0.0.1", port=port))
    await link.listen()
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        tasks.start_soon(link.run)
        conn = await anyio.connect_tcp("127.0.0.1", link.address.port)
        with anyio.fail_after(10):
            yield link, conn
        await anyio.aclose_forcefully(conn)
        tasks.cancel_scope.cancel()


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_passing_link_forwards_in_both_directions(self):
        async with linked() as (_, conn):
            await conn.send(b"x")
            self.assertEqual(await conn.receive(), b"x")

    async def test_a_reset_ends_open_and_new_connections(self):
        async with linked() as (link, conn):
            await conn.send(b"x")
            await conn.receive()
            link.set_mode(LinkMode.RESET)
            with self.assertRaises(ENDED):
                await conn.receive()
            fresh = await anyio.connect_tcp("127.0.0.1", link.address.port)
            async with fresh:
                with self.assertRaises(ENDED):
                    await fresh.receive()

    async def test_a_silent_link_buffers_bytes_until_it_is_restored(self):
        for mode in (LinkMode.SILENT, LinkMode.ONE_WAY):
            async with linked() as (link, conn):
                link.set_mode(mode)
                await conn.send(b"x")
                with anyio.move_on_after(0.1) as scope:
                    await conn.receive()
                self.assertTrue(scope.cancelled_caught)
                link.set_mode(LinkMode.PASS)
                self.assertEqual(await conn.receive(), b"x")
