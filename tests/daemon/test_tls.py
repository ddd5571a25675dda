"""Tests of a TLS listener over a loopback socket."""

import asyncio
import logging
import pathlib
import ssl
import unittest

from blacksheep import Application
from blacksheep.contents import Content
from blacksheep.messages import Request
from blacksheep.messages import Response
from blacksheep.server.routing import Router

from burdockdrum.overload import make_limits
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.system_ports import make_ssl_context
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.web import bind
from burdockdrum.web import WebServer

FOLDER = pathlib.Path(__file__).parent / "tls"
CERTIFICATE = str(FOLDER / "certificate.pem")


async def greet(request: Request) -> Response:
    return Response(200, None, Content(b"text/plain", b"hello"))


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Clients that trust the server's certificate, and that don't."""

    async def asyncSetUp(self):
        application = Application(router=Router())
        application.router.add_get("/", greet)
        listener = bind("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        self.url = f"https://127.0.0.1:{self.port}/"
        self.web = WebServer(
            application=application,
            listener=listener,
            certificate_file=CERTIFICATE,
            key_file=str(FOLDER / "key.pem"),
            process_limits=make_limits(descriptors=32),
        )
        self.serving = asyncio.create_task(self.web.run())

    async def asyncTearDown(self):
        self.web.stop()
        await self.serving

    async def call(self, context: ssl.SSLContext | None):
        http = PooledHttpClient(ssl_context=context)
        call = UpstreamCall(method="GET", url=self.url, connect_timeout=10)
        answer = await http.open(call)
        body = await read_whole(answer)
        await http.close()
        return answer.status, body

    async def test_trusted_certificate_is_accepted(self):
        context = make_ssl_context(CERTIFICATE)
        self.assertEqual((200, b"hello"), await self.call(context))

    async def test_handshakes_without_end_make_room(self):
        """Guards against callers that are refused beside stalled ones."""
        for _ in range(60):
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.addCleanup(writer.close)
        context = make_ssl_context(CERTIFICATE)
        self.assertEqual((200, b"hello"), await self.call(context))

    async def test_untrusted_certificate_is_a_connect_failure(self):
        # The handshake fails before a byte of the request is sent. The
        # server's log of the failure is silenced.
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        self.addCleanup(logging.getLogger("asyncio").setLevel, logging.WARNING)
        with self.assertRaises(ConnectFailed):
            await self.call(ssl.create_default_context())
