"""Streams that break, end early, cross or lose their caller."""

import asyncio
import unittest

from burdockdrum.ports import AnswerLost
from burdockdrum.testing import run_virtual
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
    """HARD CASE 5: no token lost or doubled, or an explicit error."""

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
                # One id, whichever attempts it took.
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

    def test_stream_cut_in_the_middle_is_resumed(self):
        # An engine's connection breaks after three tokens. The caller sees
        # the other three come from the second engine, each token once.
        self.check_resumed(cut_after=3)

    def test_clean_close_without_the_marker_is_not_an_end(self):
        # The engine closes the stream in good form after three tokens, as
        # one does that is stopped. The answer is not complete, so it goes
        # on elsewhere.
        self.check_resumed(cut_after=3, cut_clean=True)

    def test_stream_cut_after_its_last_token_is_finished(self):
        # All tokens have come, the marker has not: the resumed attempt has
        # only the end to give, and no token comes twice.
        self.check_resumed(cut_after=6)

    def test_stream_that_stalls_is_resumed_and_cancelled(self):
        # The engine keeps the connection open and sends nothing more after
        # three tokens. After the limit the stream goes on elsewhere, and
        # the first engine is told that nobody waits.
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

    def test_stream_that_nobody_can_resume_ends_in_an_error(self):
        # The only engine dies after three tokens and stays away. The
        # caller has three tokens; it must be told, and get no marker.
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

    def test_event_of_another_request_reaches_nobody(self):
        # HARD CASE 6: an engine mixes up two answers. The event bears the
        # id of another request, so it is not passed on.
        async def scenario(stack):
            engine = Endpoint(name="e1", echo_id="req-other.00.0")
            await stack.add_endpoint(engine, "a1")
            answer = await stack.complete("a1")
            body = await stack.read(answer)
            self.assertEqual(502, answer.status)
            self.assertNotIn(b"t1", body)

        run_with_stack(scenario, "a1")

    def test_forwarded_stream_survives_the_loss_of_the_remote_entry(self):
        # A stream runs through an entry of another region, which crashes
        # after some tokens. Another entry there resumes it at the engine.
        async def scenario(stack):
            engine = Endpoint(name="e1", token_seconds=0.5)
            await stack.add_endpoint(engine, "b1", "b2")
            answer = await stack.complete("a1")
            parts = answer.chunks()
            body = await anext(parts)
            busy = [
                vm
                for vm in ("b1", "b2")
                if any(
                    e.name == "request.received"
                    for e in stack.cluster.vms_by_id[vm]
                    .kernel.find("timeline", object)
                    .events()
                )
            ]
            await stack.cluster.crash_vm(busy[0])
            async for part in parts:
                body += part
            self.assertEqual(WHOLE, read_text(body))
            self.assertEqual(1, body.count(DONE))

        run_with_stack(scenario, "a1", "b1", "b2")


class SilenceTest(unittest.TestCase):
    """HARD CASE 4: sent, then silence."""

    def test_repeatable_request_moves_on_after_silence(self):
        # One engine takes requests and says nothing. The caller of a
        # stream gets its answer from the other one.
        async def scenario(stack):
            await stack.add_endpoint(Endpoint(name="e1", silent=True), "a1")
            await stack.add_endpoint(Endpoint(name="e2"), "a1")
            for number in range(4):
                answer = await stack.complete("a1", f"prompt {number}")
                body = await stack.read(answer)
                self.assertEqual(WHOLE, read_text(body))

        run_with_stack(scenario, "a1")

    def test_deadline_that_passes_is_named(self):
        # Nothing comes before the deadline, or the last tokens would come
        # after it: the caller is told so, when it passes.
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
            # Routing leaves an endpoint alone that was silent to the end.
            await asyncio.sleep(10)
            answer = await stack.complete("a1", headers=headers)
            body = await stack.read(answer)
            self.assertIn(b"event: error", body)
            self.assertIn(b'"deadline"', body)
            self.assertNotIn(DONE, body)

        run_with_stack(scenario, "a1")

    def test_unrepeatable_request_is_not_repeated_after_silence(self):
        # The service takes the booking and says nothing until the
        # deadline. Whether it booked is not known: no second attempt.
        async def scenario(stack):
            mute = Endpoint(name="e1", silent=True)
            spare = Endpoint(name="e2", silent=True)
            for one in (mute, spare):
                await stack.add_endpoint(one, "a1", service="booking")
            booked = await stack.book(
                "a1", "key", headers={"x-deadline-seconds": "20"}
            )
            self.assertEqual("may have run", booked.verdict)
            self.assertEqual(1, len(mute.calls) + len(spare.calls))

        run_with_stack(scenario, "a1")

    def test_unrepeatable_request_is_not_repeated_after_a_break(self):
        # The service takes the booking and dies. Another one stands ready
        # and there is time left; the request may have run all the same.
        async def scenario(stack):
            services = [Endpoint(name=f"e{n}", crash_on=b"x") for n in (1, 2)]
            for one in services:
                await stack.add_endpoint(one, "a1", service="booking")
            booked = await stack.book("a1", "key", content=b'"x"')
            self.assertEqual("endpoint_lost", booked.code)
            self.assertEqual("may have run", booked.verdict)
            self.assertEqual(1, sum(len(one.calls) for one in services))

        run_with_stack(scenario, "a1")

    def test_refused_connection_is_provably_not_run(self):
        # Nothing listens at the service's address: no byte has left, so
        # even an unrepeatable request may say "not run" and come again.
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
        # Every engine of the other region fails. The entry there makes its
        # attempts and refuses; the one that passed it on makes no more.
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
    """HARD CASE 7: the caller goes; slots are freed."""

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
        # The caller hangs up at an entry of the north; the engine is in
        # the south. Both entries have to notice and cancel.
        self.check_cancelled("a1")

    def test_engine_is_cancelled_before_the_first_token(self):
        # The caller goes while the engine reads the prompt: no token has
        # come that could show that the connection has closed.
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

    def test_slow_reader_holds_up_nobody_else(self):
        # One caller takes one event and then none. Others are answered,
        # and when it reads on it gets the rest.
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
    """What the events themselves may look like."""

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

    def test_events_split_anywhere_are_put_together(self):
        def parts(request_id):
            whole = event(request_id, 1, "one ") + event(request_id, 2, "two")
            whole += DONE + b"\n\n"
            return [whole[i : i + 7] for i in range(0, len(whole), 7)]

        self.check(parts, "one two", failed=False)

    def test_event_of_another_request_is_not_passed_on(self):
        # The head is the right one, but an event within the stream bears
        # another request's id.
        def parts(request_id):
            yield event(request_id, 1, "one ")
            yield event("req-other.00.0", 2, "secret")

        self.check(parts, "one ", failed=True)

    def test_marker_within_a_text_is_not_the_end(self):
        # The answer speaks of "data: [DONE]", and the engine then closes.
        def parts(request_id):
            return [event(request_id, 1, "data: [DONE]\n\n")]

        self.check(parts, "data: [DONE]\n\n", failed=True)

    def test_stream_without_offsets_is_not_resumed(self):
        # An engine that numbers nothing breaks: it can't go on from a
        # token, and starting again would repeat what went out.
        def parts(request_id):
            yield event(request_id, 1, "one ").partition(b"\n")[2]
            raise AnswerLost("reset by peer")

        self.check(parts, "one ", failed=True)


if __name__ == "__main__":
    unittest.main()
