"""Tests of streams that break, end early, mix up or lose their caller."""

import asyncio
import unittest

from burdockdrum.ports import AnswerLost
from burdockdrum.requests import InboundRequest
from burdockdrum.requests import RequestKind
from burdockdrum.requests import RequestService
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock
from tests.requests.stack import Endpoint
from tests.requests.stack import event
from tests.requests.stack import read_text
from tests.requests.stack import Stack

WHOLE = "t1 t2 t3 t4 t5 t6 "
DONE = b"data: [DONE]"


def run_with_stack(scenario, *vms, seed=1):
    async def main():
        stack = Stack(seed=seed)
        await stack.start(*vms)
        await stack.configure()
        try:
            await scenario(stack)
        finally:
            await stack.stop()

    run_virtual(main())


class BrokenStreamTest(unittest.TestCase):
    """HARD CASE 5: no token is lost or repeated, or an error is sent."""

    def check_resumed(self, **faults):
        async def scenario(stack):
            first = await stack.add_endpoint(
                Endpoint(name="e1", **faults), "a1"
            )
            second = Endpoint(name="e2")
            await stack.add_endpoint(second, "a1")
            for number in range(8):
                first.cut_after = faults["cut_after"]
                answer = await stack.complete("a1", f"prompt {number}")
                body = await stack.read(answer)
                self.assertEqual(WHOLE, read_text(body))
                self.assertEqual(1, body.count(DONE))
                self.assertTrue(body.rstrip().endswith(DONE))
                self.assertNotIn(b"event: error", body)
                # All attempts show the same id to the caller.
                ids = {
                    line.split('"id":"')[1].split('"')[0]
                    for line in body.decode().split("\n")
                    if '"id":"' in line
                }
                self.assertEqual({answer.headers["x-request-id"]}, ids)
            resumed = {
                call.headers.get("x-resume-offset")
                for call in (*first.calls, *second.calls)
            }
            self.assertIn(str(faults["cut_after"]), resumed)

        run_with_stack(scenario, "a1")

    def test_broken_stream_is_resumed(self):
        # The caller must get each token once, across both attempts.
        self.check_resumed(cut_after=3)

    def test_broken_stream_is_resumed_at_its_version(self):
        # Guards against an answer with tokens of two software versions.
        async def scenario(stack):
            first = Endpoint(name="e1", software_version="v1", cut_after=3)
            await stack.add_endpoint(first, "a1")
            others = [
                Endpoint(name=f"e{number}", software_version="v2")
                for number in (2, 3, 4)
            ]
            parts = (await stack.complete("a1")).chunks()
            body = await anext(parts)
            for other in others:
                await stack.add_endpoint(other, "a1")
            async for part in parts:
                body += part
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual([], [e for e in others if e.calls])

        run_with_stack(scenario, "a1")

    def test_forwarded_stream_is_resumed_at_its_version(self):
        # Guards against a forwarded request that carries no version.
        async def scenario(stack):
            first = Endpoint(
                name="e1", software_version="v1", token_seconds=1.0
            )
            await stack.add_endpoint(first, "b1", "b2")
            parts = (await stack.complete("a1")).chunks()
            body = await anext(parts)
            others = [
                Endpoint(name=f"e{number}", software_version="v2")
                for number in (2, 3)
            ]
            for other in others:
                await stack.add_endpoint(other, "b1", "b2")
            await stack.crash_busy("b1", "b2")
            async for part in parts:
                body += part
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual([], [e for e in others if e.calls])

        run_with_stack(scenario, "a1", "b1", "b2")

    def test_stream_closed_without_the_marker_is_resumed(self):
        # An engine that is stopped closes its streams without an error, but
        # the answer is incomplete.
        self.check_resumed(cut_after=3, cut_clean=True)

    def test_stream_broken_after_its_last_token_is_completed(self):
        # Only the marker is missing; the resumed attempt must not repeat a
        # token.
        self.check_resumed(cut_after=6)

    def test_stream_that_stalls_is_resumed_and_cancelled(self):
        # The engine stops sending but keeps the connection open. The stream
        # is resumed after the idle timeout and the first attempt cancelled.
        async def scenario(stack):
            stalled = Endpoint(name="e1", stall_after=3)
            await stack.add_endpoint(stalled, "a1")
            await stack.add_endpoint(Endpoint(name="e2"), "a1")
            while not stalled.calls:
                body = await stack.read(await stack.complete("a1"))
                self.assertEqual(WHOLE, read_text(body))
                self.assertEqual(1, body.count(DONE))
            self.assertEqual(1, len(stalled.cancelled))

        run_with_stack(scenario, "a1")

    def test_stream_that_can_not_be_resumed_ends_in_an_error(self):
        # The only engine crashes. The caller must get an error event and no
        # marker after the tokens that were sent.
        async def scenario(stack):
            engine = Endpoint(name="e1", cut_after=3)
            await stack.add_endpoint(engine, "a1")
            answer = await stack.complete("a1")
            parts = answer.chunks()
            body = await anext(parts)
            stack.cluster.web.stop(engine.url)
            async for part in parts:
                body += part
            self.assertEqual("t1 t2 t3 ", read_text(body))
            self.assertNotIn(DONE, body)
            self.assertIn(b"event: error", body)
            self.assertIn(b'"verdict":"may have run"', body)

        run_with_stack(scenario, "a1")

    def test_event_of_another_request_is_not_delivered(self):
        # HARD CASE 6: an engine mixes up two answers. Events with the id of
        # another request must not be relayed.
        async def scenario(stack):
            engine = Endpoint(name="e1", echo_id="req-other.00.0")
            await stack.add_endpoint(engine, "a1")
            answer = await stack.complete("a1")
            body = await stack.read(answer)
            self.assertEqual(502, answer.status)
            self.assertNotIn(b"t1", body)

        run_with_stack(scenario, "a1")

    def test_forwarded_stream_survives_a_crash_of_the_remote_entry_vm(self):
        # Another entry VM of the remote data centre must resume the stream.
        async def scenario(stack):
            engine = Endpoint(name="e1", token_seconds=0.5)
            await stack.add_endpoint(engine, "b1", "b2")
            answer = await stack.complete("a1")
            parts = answer.chunks()
            body = await anext(parts)
            await stack.crash_busy("b1", "b2")
            async for part in parts:
                body += part
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual(1, body.count(DONE))

        run_with_stack(scenario, "a1", "b1", "b2")


class SilenceTest(unittest.TestCase):
    """HARD CASE 4: no response after a request was sent."""

    def test_repeatable_request_is_retried_after_a_timeout(self):
        # One engine accepts requests and never answers; the other one must
        # answer instead.
        async def scenario(stack):
            await stack.add_endpoint(Endpoint(name="e1", silent=True), "a1")
            await stack.add_endpoint(Endpoint(name="e2"), "a1")
            for number in range(4):
                answer = await stack.complete("a1", f"prompt {number}")
                body = await stack.read(answer)
                self.assertEqual(WHOLE, read_text(body))

        run_with_stack(scenario, "a1")

    def test_missed_deadline_is_reported(self):
        # The deadline passes before the first token, or within the stream.
        async def scenario(stack):
            engine = await stack.add_endpoint(
                Endpoint(name="e1", silent=True), "a1"
            )
            headers = {"x-deadline-seconds": "3"}
            answer = await stack.complete("a1", headers=headers)
            body = await stack.read(answer)
            self.assertEqual(504, answer.status)
            self.assertIn(b'"deadline"', body)
            self.assertEqual("may have run", answer.headers["x-verdict"])
            engine.silent = False
            engine.token_seconds = 1.0
            # The unresponsive endpoint is ejected for some seconds.
            await asyncio.sleep(10)
            answer = await stack.complete("a1", headers=headers)
            body = await stack.read(answer)
            self.assertIn(b"event: error", body)
            self.assertIn(b'"deadline"', body)
            self.assertNotIn(DONE, body)

        run_with_stack(scenario, "a1")

    def test_unrepeatable_request_is_not_retried_after_a_timeout(self):
        # The request may have run, so there must be no second attempt.
        async def scenario(stack):
            first = Endpoint(name="e1", silent=True)
            spare = Endpoint(name="e2", silent=True)
            for one in (first, spare):
                await stack.add_endpoint(one, "a1", service="booking")
            booked = await stack.book(
                "a1", "key", headers={"x-deadline-seconds": "20"}
            )
            self.assertEqual("may have run", booked.verdict)
            self.assertEqual(1, len(first.calls) + len(spare.calls))

        run_with_stack(scenario, "a1")

    def test_unrepeatable_request_is_not_retried_after_a_broken_connection(
        self,
    ):
        # The request may have run before the crash, so it must not be sent to
        # the other endpoint.
        async def scenario(stack):
            services = [Endpoint(name=f"e{n}", crash_on=b"x") for n in (1, 2)]
            for one in services:
                await stack.add_endpoint(one, "a1", service="booking")
            booked = await stack.book("a1", "key", content=b'"x"')
            self.assertEqual("endpoint_lost", booked.code)
            self.assertEqual("may have run", booked.verdict)
            self.assertEqual(1, sum(len(one.calls) for one in services))

        run_with_stack(scenario, "a1")

    def test_refused_connection_has_the_verdict_not_run(self):
        # Nothing was sent, so even an unrepeatable request can be sent again
        # with the same key.
        async def scenario(stack):
            gone = Endpoint(name="e1")
            await stack.add_endpoint(gone, "a1", service="booking")
            stack.cluster.web.stop(gone.url)
            booked = await stack.book("a1", "key")
            self.assertEqual("not run", booked.verdict)
            stack.cluster.web.serve(gone.url, "e1", gone.serve)
            booked = await stack.book("a1", "key")
            self.assertEqual(200, booked.status)
            self.assertEqual(1, gone.runs_by_key["key"])

        run_with_stack(scenario, "a1")

    def test_retries_of_two_hops_do_not_multiply(self):
        # All remote endpoints fail. The remote entry VM makes its retries, so
        # the forwarding one must make none.
        async def scenario(stack):
            engines = [Endpoint(name=f"e{n}", status=500) for n in range(3)]
            for engine in engines:
                await stack.add_endpoint(engine, "b1")
            answer = await stack.complete("a1")
            body = await stack.read(answer)
            self.assertEqual(502, answer.status, body)
            calls = sum(len(engine.calls) for engine in engines)
            self.assertLessEqual(calls, 4)
            self.assertEqual("may have run", answer.headers["x-verdict"])

        run_with_stack(scenario, "a1", "b1")


class HangUpTest(unittest.TestCase):
    """HARD CASE 7: slots are freed when the caller disconnects."""

    def check_cancelled(self, entry):
        async def scenario(stack):
            engine = Endpoint(name="e1", tokens=1000)
            await stack.add_endpoint(engine, "b1")
            answer = await stack.complete(entry)
            await anext(answer.chunks())
            await answer.close()
            await asyncio.sleep(1)
            self.assertEqual(1, len(engine.closed))
            self.assertEqual(engine.closed, engine.cancelled)

        run_with_stack(scenario, "a1", "b1")

    def test_engine_is_cancelled_within_a_second(self):
        self.check_cancelled("b1")

    def test_engine_is_cancelled_across_a_forward(self):
        # Both entry VMs must detect the disconnect for the cancellation to
        # reach the remote engine.
        self.check_cancelled("a1")

    def test_engine_is_cancelled_before_the_first_token(self):
        # During prefill no token is sent, so the engine does not detect the
        # closed connection by itself.
        async def scenario(stack):
            engine = Endpoint(name="e1", token_seconds=50)
            await stack.add_endpoint(engine, "a1")
            opening = asyncio.create_task(stack.complete("a1"))
            await asyncio.sleep(2)
            self.assertEqual(1, len(engine.calls))
            opening.cancel()
            await asyncio.gather(opening, return_exceptions=True)
            await asyncio.sleep(1)
            self.assertEqual(1, len(engine.cancelled))

        run_with_stack(scenario, "a1")

    def test_engine_is_cancelled_if_the_caller_leaves_before_the_body(self):
        # Guards against streams that run on, and hold their permits, because
        # nobody has begun to read them.
        async def scenario(stack):
            engine = Endpoint(name="e1", tokens=1000)
            await stack.add_endpoint(engine, "a1")
            requests = stack.cluster.vms_by_id["a1"].kernel.find(
                "requests", RequestService
            )
            now = VirtualClock().monotonic()
            answer = await requests.handle(
                InboundRequest(
                    request_id="req-1",
                    client_id="crew",
                    service="planner",
                    kind=RequestKind.COMPLETION,
                    method="POST",
                    path="/v1/completions",
                    body=b'{"stream":true}',
                    content_type="application/json",
                    stream=True,
                    received_at=now,
                    deadline=now + 60.0,
                )
            )
            await answer.body.aclose()
            await asyncio.sleep(1)
            self.assertEqual(0, engine.running)
            self.assertEqual(1, len(engine.cancelled))

        run_with_stack(scenario, "a1")

    def test_slow_reader_does_not_block_other_callers(self):
        # A caller stops reading after one event. Others must be answered, and
        # it must get the rest when it continues to read.
        async def scenario(stack):
            engine = Endpoint(name="e1", tokens=300, token_seconds=0.01)
            await stack.add_endpoint(engine, "a1")
            slow = (await stack.complete("a1", "slow")).chunks()
            await anext(slow)
            for number in range(3):
                answer = await stack.complete("a1", f"prompt {number}")
                body = await stack.read(answer)
                self.assertEqual(1, body.count(DONE))
            rest = b"".join([part async for part in slow])
            self.assertEqual(1, rest.count(DONE))

        run_with_stack(scenario, "a1")


class RelayTest(unittest.TestCase):
    """Relaying of unusual event streams."""

    def check(self, parts, expected_text, *, failed):
        async def scenario(stack):
            engine = Endpoint(name="e1")

            async def stream(call, request_id):
                for part in parts(request_id):
                    await asyncio.sleep(0.01)
                    yield part

            engine.stream = stream
            await stack.add_endpoint(engine, "a1")
            answer = await stack.complete("a1")
            body = await stack.read(answer)
            self.assertEqual(expected_text, read_text(body))
            self.assertEqual(failed, b"event: error" in body)
            self.assertEqual(not failed, b"\n" + DONE in body)

        run_with_stack(scenario, "a1")

    def test_events_split_across_chunks_are_reassembled(self):
        def parts(request_id):
            whole = event(request_id, 1, "one ") + event(request_id, 2, "two")
            whole += DONE + b"\n\n"
            return [whole[i : i + 7] for i in range(0, len(whole), 7)]

        self.check(parts, "one two", failed=False)

    def test_event_of_another_request_is_not_passed_on(self):
        # The head has the right id, but a later event has another one.
        def parts(request_id):
            yield event(request_id, 1, "one ")
            yield event("req-other.00.0", 2, "secret")

        self.check(parts, "one ", failed=True)

    def test_marker_within_a_text_is_not_the_end(self):
        # The text contains "data: [DONE]", and the engine then closes.
        def parts(request_id):
            return [event(request_id, 1, "data: [DONE]\n\n")]

        self.check(parts, "data: [DONE]\n\n", failed=True)

    def test_stream_without_offsets_is_not_resumed(self):
        # Without offsets a new attempt would repeat tokens that were sent.
        def parts(request_id):
            yield event(request_id, 1, "one ").partition(b"\n")[2]
            raise AnswerLost("reset by peer")

        self.check(parts, "one ", failed=True)


if __name__ == "__main__":
    unittest.main()
