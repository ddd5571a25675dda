"""HARD CASE 23 for the callers' API: invalid requests are rejected."""

import unittest

import msgspec

from burdockdrum.testing import run_virtual
from tests.requests.stack import Endpoint
from tests.requests.stack import Stack

GOOD = {"model": "planner", "prompt": "hello", "max_tokens": 6}
CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"

# Path, body and headers of a request; expected status and a word that the
# error message contains.
BAD_REQUESTS = [
    (TEXT, b"", {}, 400, "body"),
    (TEXT, b"{", {}, 400, "body"),
    (TEXT, b"\xff\xfe", {}, 400, "body"),
    (TEXT, b"[]", {}, 400, "object"),
    (TEXT, {"prompt": "hello"}, {}, 400, "model"),
    (TEXT, {**GOOD, "prompt": 7}, {}, 400, "prompt"),
    (TEXT, {"model": "planner"}, {}, 400, "prompt"),
    (TEXT, {**GOOD, "max_tokens": 0}, {}, 400, "max_tokens"),
    (TEXT, {**GOOD, "max_completion_tokens": 0}, {}, 400, "max_tokens"),
    (TEXT, {**GOOD, "max_tokens": "many"}, {}, 400, "max_tokens"),
    (TEXT, {**GOOD, "stream": "yes"}, {}, 400, "stream"),
    (TEXT, {**GOOD, "model": "nothing"}, {}, 404, "nothing"),
    (TEXT, {**GOOD, "model": "booking"}, {}, 404, "plain service"),
    (CHAT, {"model": "planner", "messages": []}, {}, 400, "messages"),
    (CHAT, {"model": "planner", "messages": [{}]}, {}, 400, "role"),
    (TEXT, GOOD, {"x-deadline-seconds": "soon"}, 400, "x-deadline-seconds"),
    (TEXT, GOOD, {"x-deadline-seconds": "-1"}, 400, "x-deadline-seconds"),
    (TEXT, GOOD, {"x-deadline-seconds": "nan"}, 400, "x-deadline-seconds"),
    (TEXT, GOOD, {"x-deadline-seconds": "1e9"}, 400, "x-deadline-seconds"),
    (TEXT, GOOD, {"x-priority-class": "nothing"}, 400, "x-priority-class"),
    (TEXT, GOOD, {"x-priority-class": "urgent"}, 403, "urgent"),
    (TEXT, GOOD, {"x-unrepeatable": "perhaps"}, 400, "x-unrepeatable"),
    (TEXT, GOOD, {"x-unrepeatable": "true"}, 400, "Idempotency-Key"),
    (TEXT, GOOD, {"idempotency-key": "k" * 256}, 400, "idempotency-key"),
    (TEXT, GOOD, {"idempotency-key": "\xe9"}, 400, "idempotency-key"),
    (TEXT, GOOD, {"authorization": "Basic x"}, 401, "Bearer"),
    (TEXT, GOOD, {"authorization": "Bearer nobody"}, 401, "token"),
    (TEXT, GOOD, {"authorization": "Bearer operator"}, 401, "token"),
    ("/services/booking/book/1", b"", {}, 400, "Idempotency-Key"),
    ("/services/nothing/book/1", b"", {}, 404, "nothing"),
]


def run_with_engine(scenario):
    async def main():
        stack = Stack()
        await stack.start("a1")
        await stack.configure()
        await stack.put("priority_class", "urgent", {"rank": 1})
        engine = await stack.add_endpoint(Endpoint(name="e1"), "a1")
        try:
            await scenario(stack, engine)
        finally:
            await stack.stop()

    run_virtual(main())


async def send(stack, path, body, headers):
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    caller = stack.client("caller")
    answer = await caller.open(stack.url("a1"), "POST", path, body, headers)
    return answer, await stack.read(answer)


class BadInputTest(unittest.TestCase):
    """Each invalid request gets a refusal that names the error."""

    def test_invalid_request_is_rejected_and_does_not_run(self):
        async def scenario(stack, engine):
            for path, body, headers, status, word in BAD_REQUESTS:
                with self.subTest(path=path, body=body, headers=headers):
                    answer, text = await send(stack, path, body, headers)
                    error = msgspec.json.decode(text)["error"]
                    self.assertEqual(status, answer.status, error)
                    self.assertIn(word, error["message"])
                    self.assertTrue(error["request_id"])
                    self.assertEqual(
                        error["verdict"], answer.headers["x-verdict"]
                    )
            self.assertEqual([], engine.calls)
            answer, text = await send(stack, TEXT, GOOD, {})
            self.assertEqual(200, answer.status, text)

        run_with_engine(scenario)

    def test_body_over_the_limit_is_rejected(self):
        async def scenario(stack, engine):
            body = {**GOOD, "prompt": "x" * 4 * 1024 * 1024}
            answer, text = await send(stack, TEXT, body, {})
            self.assertEqual(413, answer.status)
            self.assertIn(b"4194304", text)
            self.assertEqual([], engine.calls)

        run_with_engine(scenario)

    def test_refusal_of_a_keyed_request_says_it_may_have_run(self):
        # An earlier request with the same key may have run.
        async def scenario(stack, engine):
            headers = {"idempotency-key": "k", "authorization": "Bearer no"}
            answer, _ = await send(stack, TEXT, GOOD, headers)
            self.assertEqual("may have run", answer.headers["x-verdict"])
            del headers["idempotency-key"]
            answer, _ = await send(stack, TEXT, GOOD, headers)
            self.assertEqual("not run", answer.headers["x-verdict"])

        run_with_engine(scenario)


if __name__ == "__main__":
    unittest.main()
