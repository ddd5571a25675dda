"""The emulated engine over HTTP."""

import asyncio
import random
import unittest

import msgspec

from burdockdrum.emulator import build_engine_application
from burdockdrum.emulator import cut_when_crashed
from burdockdrum.emulator import EmulatedEngine
from burdockdrum.emulator import EngineSettings
from burdockdrum.emulator import OrderBook
from burdockdrum.emulator import WeightStore
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import UpstreamCall
from burdockdrum.testing import FakeHttpClient
from burdockdrum.testing import FakeNetwork
from burdockdrum.testing import FakeWeb
from burdockdrum.testing import run_virtual
from burdockdrum.testing import serve_asgi
from burdockdrum.testing import VirtualClock

URL = "http://127.0.0.1:1"


class ApplicationTest(unittest.TestCase):
    """The HTTP API of the engine as the gateway uses it."""

    async def start(self, orders=None, **changes):

        self.web = FakeWeb(network=FakeNetwork(rng=random.Random(1)))
        self.engine = EmulatedEngine(
            settings=EngineSettings(service="planner", **changes),
            clock=VirtualClock(),
            on_crash=lambda: self.web.stop(URL),
        )
        application = build_engine_application(self.engine, orders)
        await application.start()
        server = serve_asgi(cut_when_crashed(application, self.engine))
        self.web.serve(URL, "engine", server)
        self.http = FakeHttpClient(web=self.web, host="vm")

    async def call(self, method, path, body=None, **headers):
        call = UpstreamCall(
            method=method,
            url=URL + path,
            headers=headers,
            body=msgspec.json.encode(body) if body is not None else b"",
        )
        return await self.http.open(call)

    async def chat(self, content, **headers):
        body = {
            "model": "planner",
            "stream": True,
            "max_tokens": 5,
            "messages": [{"role": "user", "content": content}],
        }
        return await self.call("POST", "/v1/chat/completions", body, **headers)

    def test_stream_resumes_from_an_offset(self):
        async def main():
            await self.start()
            whole = await self.chat("x")
            parts = [part async for part in whole.chunks()]
            rest = await self.chat("x", **{"x-resume-offset": "2"})
            again = [part async for part in rest.chunks()]
            return parts, again

        parts, again = run_virtual(main())
        self.assertEqual(b"data: [DONE]\n\n", parts[-1])
        self.assertEqual(b"".join(parts[2:]), b"".join(again))

    def test_closed_connection_frees_the_slot(self):
        async def main():
            await self.start(token_seconds=5)
            answer = await self.chat("x")
            async for _ in answer.chunks():
                break
            self.assertEqual(1, self.engine.running)
            await answer.close()
            await asyncio.sleep(0.5)
            self.assertEqual(0, self.engine.running)

        run_virtual(main())

    def test_crash_cuts_streams_and_whole_answers(self):
        async def main():
            await self.start(poison=b"POISON", token_seconds=0.5)
            stream = await self.chat("innocent")
            body = {"prompt": "innocent", "max_tokens": 90}
            whole = asyncio.create_task(
                self.call("POST", "/v1/completions", body)
            )
            await asyncio.sleep(0.6)
            killer = asyncio.create_task(self.chat("POISON"))
            with self.assertRaises(AnswerLost):
                async for _ in stream.chunks():
                    pass
            with self.assertRaises(AnswerLost):
                await whole
            await asyncio.gather(killer, return_exceptions=True)

        run_virtual(main())

    def test_kv_of_a_prefix_is_exported_and_imported(self):
        async def main():
            await self.start()
            missing = await self.call("GET", "/v1/kv/77")
            await self.call("PUT", "/v1/kv/77", {"state": 1})
            found = await self.call("GET", "/v1/kv/77")
            parts = [part async for part in found.chunks()]
            self.assertEqual(404, missing.status)
            self.assertEqual(b'{"state":1}', b"".join(parts))
            self.assertEqual(1, self.engine.cache.match((77,)))

        run_virtual(main())

    def test_old_fencing_number_is_refused_or_ignored(self):
        async def order(number, name):
            body = {
                "order_id": name,
                "kind": "load_adapter",
                "value": name,
                "fencing_number": number,
            }
            return (await self.call("POST", "/orders", body)).status

        async def main(checks_fencing):
            order_book = OrderBook(
                versions=set(),
                adapters=set(),
                checks_fencing=checks_fencing,
                weights=WeightStore(
                    clock=VirtualClock(), bytes_per_second=1e9
                ),
            )
            await self.start(order_book)
            statuses = [
                await order(2, "new"),
                await order(1, "old"),
                await order(2, "new"),
            ]
            return statuses, order_book.adapters, len(order_book.orders)

        self.assertEqual(
            ([200, 409, 200], {"new"}, 1), run_virtual(main(True))
        )
        self.assertEqual(
            ([200, 200, 200], {"new", "old"}, 2), run_virtual(main(False))
        )
