"""Run two regions on this machine, send requests, print what happened.

Usage: python -m scripts.demo

Starts three entry VMs in two regions and four stand-ins for endpoints as
separate processes over loopback, lets an operator write resources, sends
completions and plain calls through the entries that the system names, and
ends with a table. Every process it started is ended again.
"""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass
import json
import random
import secrets
import sys
import time

from burdockdrum.client import ClientError
from burdockdrum.client import GatewayClient
from burdockdrum.client import GatewayReply
from burdockdrum.emulator import make_answer
from burdockdrum.system_ports import SystemClock
from scripts.cluster import Cluster
from scripts.cluster import EndpointPlan
from scripts.cluster import VmPlan

VMS = [
    VmPlan(vm_id="dunantul-1", region="dunantul", control=True),
    VmPlan(vm_id="dunantul-2", region="dunantul"),
    VmPlan(vm_id="alfold-1", region="alfold"),
]
ENDPOINTS = [
    EndpointPlan(
        endpoint_id="engine-d1", region="dunantul", service="planner"
    ),
    EndpointPlan(
        endpoint_id="engine-d2", region="dunantul", service="planner"
    ),
    EndpointPlan(endpoint_id="engine-a1", region="alfold", service="planner"),
    EndpointPlan(
        endpoint_id="roster-a1", region="alfold", service="roster", plain=True
    ),
]
RESOURCES = [
    ("region", "dunantul", {}),
    ("region", "alfold", {}),
    ("region", "eszak", {}),
    ("data_centre", "dunantul", {"region": "dunantul"}),
    ("data_centre", "alfold", {"region": "alfold"}),
    ("priority_class", "crew", {"rank": 0, "worth": 5.0}),
    ("service", "planner", {"regions": ["dunantul", "alfold", "eszak"]}),
    ("service", "roster", {"type": "plain", "regions": ["alfold"]}),
]
COMPLETIONS = 40
COMPLETIONS_PATH = "/v1/chat/completions"
OUTPUT_TOKENS = 12
PLAIN_CALLS = 20
IN_FORCE_TIMEOUT_SECONDS = 15.0

AnswerCheck = Callable[[GatewayReply], bool]


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """The result of one request."""

    category: str
    result: str
    seconds: float


class Demo:
    """The operator and the callers of the demo."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._rng = random.Random(7)
        self._tokens = {
            name: secrets.token_urlsafe(24) for name in ("zoldsav", "north")
        }
        self.outcomes: list[Outcome] = []

    async def run(self) -> None:
        """Write resources, wait until they are in force, send requests."""
        operator = self._connect(self._cluster.operator_token)
        await self._write_resources(operator)
        await self._wait_in_force(operator)
        caller = self._connect(self._tokens["zoldsav"])
        await self._wait_for_endpoints(caller)
        calls = [self._complete(caller, i) for i in range(COMPLETIONS)]
        calls += [self._call_plain(caller, i) for i in range(PLAIN_CALLS)]
        await asyncio.gather(*calls)
        await self._send_outside_residency()

    def _connect(self, token: str) -> GatewayClient:
        return GatewayClient(
            seeds=self._cluster.entry_urls,
            token=token,
            clock=SystemClock(),
            rng=self._rng,
        )

    async def _write_resources(self, operator: GatewayClient) -> None:
        clients = [
            ("client", "zoldsav", self._client_spec("zoldsav", "dunantul")),
            ("client", "north", self._client_spec("north", "eszak")),
        ]
        for kind, name, spec in [*RESOURCES, *clients]:
            change_id = f"demo-{kind}-{name}"
            body = json.dumps({"spec": spec, "change_id": change_id})
            reply = await self._put(operator, kind, name, body.encode())
            if not reply.ok:
                raise SystemExit(f"{kind} {name}: {reply.body.decode()}")

    async def _put(
        self, operator: GatewayClient, kind: str, name: str, body: bytes
    ) -> GatewayReply:
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            path = f"/v1/resources/{kind}/{name}"
            reply = await operator.call("PUT", path, body=body)
            if reply.status < 500 or time.monotonic() > deadline:
                return reply
            await asyncio.sleep(0.2)

    def _client_spec(self, name: str, home: str) -> dict:
        residency = ["eszak"] if name == "north" else ["dunantul", "alfold"]
        return {
            "home_region": home,
            "residency": residency,
            "priority_class": "crew",
            "token_hashes": [self._cluster.hash(self._tokens[name])],
        }

    async def _wait_in_force(self, operator: GatewayClient) -> None:
        started = time.monotonic()
        while time.monotonic() < started + IN_FORCE_TIMEOUT_SECONDS:
            reply = await operator.call("GET", "/v1/resources/client/north")
            if reply.ok:
                status = json.loads(reply.body)["status"]
                if len(status["in_force_at"]) == len(VMS):
                    seconds = time.monotonic() - started
                    print(f"in force at {len(VMS)} VMs after {seconds:.2f} s")
                    return
            await asyncio.sleep(0.05)
        raise SystemExit("the configuration did not come in force in time")

    async def _wait_for_endpoints(self, caller: GatewayClient) -> None:
        """Wait until each entry VM can reach both services."""
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        for url in self._cluster.entry_urls:
            for method, path, body in (
                ("GET", "/services/roster/ping", b""),
                (
                    "POST",
                    COMPLETIONS_PATH,
                    _encode_completion(_make_messages("ping")),
                ),
            ):
                while time.monotonic() < deadline:
                    answer = await caller.open(url, method, path, body=body)
                    async for _ in answer.chunks():
                        pass
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.1)

    async def _complete(self, caller: GatewayClient, number: int) -> None:
        stream = number % 2 == 0
        messages = _make_messages(f"plan section {number}")
        prompt = json.dumps(messages, separators=(",", ":")).encode()
        expected = make_answer(prompt, OUTPUT_TOKENS)
        category = "completion, streamed" if stream else "completion, whole"
        await self._send(
            caller,
            category,
            "POST",
            COMPLETIONS_PATH,
            _encode_completion(messages, stream=stream),
            lambda reply: _read_text(reply, stream) == expected,
        )

    async def _call_plain(self, caller: GatewayClient, number: int) -> None:
        await self._send(
            caller,
            "plain service",
            "GET",
            f"/services/roster/crews/{number}",
            b"",
            lambda reply: json.loads(reply.body)["path"] == f"/crews/{number}",
        )

    async def _send_outside_residency(self) -> None:
        caller = self._connect(self._tokens["north"])
        body = _encode_completion(_make_messages("x"))
        await self._send(
            caller,
            "completion, residency excludes every live region",
            "POST",
            COMPLETIONS_PATH,
            body,
            lambda reply: False,
        )

    async def _send(
        self,
        caller: GatewayClient,
        category: str,
        method: str,
        path: str,
        body: bytes,
        is_complete: AnswerCheck,
    ) -> None:
        started = time.monotonic()
        try:
            reply = await caller.call(method, path, body=body)
        except ClientError as error:
            verdict = "may have run" if error.may_have_run else "not run"
            result = f"no answer: {verdict}"
        else:
            result = _describe_result(reply, is_complete)
        seconds = time.monotonic() - started
        outcome = Outcome(category=category, result=result, seconds=seconds)
        self.outcomes.append(outcome)


def _make_messages(text: str) -> list[dict]:
    return [{"role": "user", "content": text}]


def _encode_completion(messages: list[dict], *, stream: bool = False) -> bytes:
    return json.dumps(
        {
            "model": "planner",
            "messages": messages,
            "max_tokens": OUTPUT_TOKENS,
            "stream": stream,
        }
    ).encode()


def _describe_result(reply: GatewayReply, is_complete: AnswerCheck) -> str:
    if reply.ok:
        return "whole answer" if is_complete(reply) else "WRONG ANSWER"
    error = json.loads(reply.body)["error"]
    return f"refused: {error['code']}, {error['verdict']}"


def _read_text(reply: GatewayReply, stream: bool) -> str:
    if not stream:
        return json.loads(reply.body)["choices"][0]["message"]["content"]
    text = ""
    lines = reply.body.decode().splitlines()
    if "data: [DONE]" not in lines:
        return "no terminal marker"
    for line in lines:
        if line.startswith("data: {"):
            choice = json.loads(line.removeprefix("data: "))["choices"][0]
            text += choice["delta"].get("content", "")
    return text


def print_table(outcomes: list[Outcome]) -> None:
    """Print the count and median latency by category and result."""
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[(outcome.category, outcome.result)].append(outcome.seconds)
    print(f"{'REQUEST':50}{'RESULT':34}{'COUNT':>6}{'MEDIAN s':>10}")
    for (category, result), seconds in sorted(groups.items()):
        median = sorted(seconds)[len(seconds) // 2]
        print(f"{category:50}{result:34}{len(seconds):6}{median:10.3f}")


async def _main() -> int:
    async with Cluster(vms=VMS, endpoints=ENDPOINTS) as cluster:
        demo = Demo(cluster)
        await demo.run()
        print_table(demo.outcomes)
        unexpected = [
            outcome
            for outcome in demo.outcomes
            if outcome.result != "whole answer"
            and "residency" not in outcome.category
        ]
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
