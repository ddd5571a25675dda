"""Complete VMs and scripted endpoints for the tests of requests."""

import asyncio
import collections
from dataclasses import dataclass
from dataclasses import field
import random

import msgspec

from burdockdrum.client import GatewayClient
from burdockdrum.emulator import Announcer
from burdockdrum.endpoints import Announcement
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import read_whole
from burdockdrum.resources import hash_token
from burdockdrum.settings import read_settings
from burdockdrum.testing import FakeAnswer
from burdockdrum.testing import VirtualClock
from burdockdrum.testing.vms import FakeCluster

SETTINGS = """
[vm]
id = "{vm}"
region = "{region}"
data_centre = "{region}"
[listen]
control = "tcp://127.0.0.1:{control}"
http = "http://127.0.0.1:{http}"
[cluster]
secret = "sixteen characters and more"
join = ["tcp://127.0.0.1:1001", "tcp://127.0.0.1:1002"]
[control]
{data}
[control.members]
a1 = "tcp://127.0.0.1:1001"
[operators]
token_hashes = ["{operator}"]
[endpoints]
token_hashes = ["{endpoint}"]
{more}
"""


@dataclass(kw_only=True)
class Endpoint:
    """A scripted endpoint, which records its calls and injects faults.

    ``crash_on`` is a content on which it crashes during the answer and loses
    all running requests. ``cut_after`` ends streams without the marker after
    this number of tokens, ``stall_after`` stops sending but keeps them open,
    ``silent`` never answers, and ``pause_after`` sends nothing for
    ``pause_seconds`` after this number of tokens or parts and then goes on.
    ``parts`` is the number of 10 kB parts of a plain service's large body.
    """

    name: str
    software_version: str = ""
    tokens: int = 6
    token_seconds: float = 0.1
    crash_on: bytes | None = None
    cut_after: int | None = None
    cut_clean: bool = False
    silent: bool = False
    parts: int = 0
    parts_made: int = 0
    stall_after: int | None = None
    pause_after: int | None = None
    pause_seconds: float = 0.0
    status: int = 200
    body: bytes = b"{}"
    seconds: float = 0.01
    echo_id: str | None = None
    restarts_after: float | None = None
    calls: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    closed: list = field(default_factory=list)
    crashes: int = 0
    running: int = 0
    runs_by_key: collections.Counter = field(
        default_factory=collections.Counter
    )
    crashed: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, call):
        """Answer a call as configured."""
        if call.method == "DELETE":
            self.cancelled.append(call.url.rpartition("/")[2])
            return FakeAnswer(status=204)
        self.calls.append(call)
        key = call.headers.get("idempotency-key")
        if key is not None:
            self.runs_by_key[key] += 1
        if self.silent:
            await asyncio.sleep(10_000)
        if self.status != 200:
            return FakeAnswer(status=self.status, body=self.body)
        if b'"stream":true' in call.body:
            request_id = self.echo_id or call.headers["x-request-id"]
            return FakeAnswer(
                headers={
                    "content-type": "text/event-stream",
                    "x-request-id": request_id,
                },
                body=self.stream(call, request_id),
                on_close=lambda: self.closed.append(request_id),
            )
        crashing = self.crash_on and self.crash_on in call.body
        crashed = self.crashed
        await asyncio.sleep(self.seconds)
        if crashing:
            self.crash()
        if crashed.is_set():
            raise AnswerLost("reset by peer")
        return FakeAnswer(
            headers={
                "content-type": "application/json",
                "connection": "keep-alive",
                "etag": '"7"',
            },
            body=self.large_body() if self.parts else self.body,
        )

    async def pause(self, number):
        """Send nothing for a while, if it does so after this number."""
        if self.pause_after == number:
            await asyncio.sleep(self.pause_seconds)

    def crash(self):
        """Fail all running requests."""
        self.crashes += 1
        self.crashed.set()
        self.crashed = asyncio.Event()

    async def large_body(self):
        """Yield a large body in parts of 10 kB."""
        for number in range(1, self.parts + 1):
            await self.pause(number - 1)
            yield b"x" * 10_000
            self.parts_made = number
            if self.cut_after == number:
                raise AnswerLost("reset by peer")

    async def stream(self, call, request_id):
        """Yield the events from the requested offset."""
        start = int(call.headers.get("x-resume-offset", 0))
        crashed = self.crashed
        self.running += 1
        try:
            for number in range(start + 1, self.tokens + 1):
                await self.pause(number - 1)
                await asyncio.sleep(self.token_seconds)
                if self.crash_on and self.crash_on in call.body:
                    self.crash()
                if crashed.is_set():
                    raise AnswerLost("reset by peer")
                yield event(request_id, number, f"t{number} ")
                if self.stall_after == number:
                    await asyncio.sleep(10_000)
                if self.cut_after == number:
                    self.cut_after = None
                    if self.cut_clean:
                        return
                    raise AnswerLost("reset by peer")
            yield event(request_id, self.tokens, "", "length")
            yield b"data: [DONE]\n\n"
        finally:
            self.running -= 1


def event(request_id, number, text, reason=None):
    """Return one event of a stream."""
    data = msgspec.json.encode(
        {
            "id": request_id,
            "choices": [{"text": text, "finish_reason": reason}],
        }
    )
    return b"id: %d\ndata: %s\n\n" % (number, data)


def read_text(body: bytes) -> str:
    """Return the concatenated text of a stream's events."""
    text = ""
    for part in body.decode().split("\n\n"):
        for line in part.split("\n"):
            if line.startswith("data: {") and "choices" in line:
                text += msgspec.json.decode(line[6:])["choices"][0]["text"]
    return text


def find_number(vm: str) -> int:
    """Return the number that a VM's ports are derived from."""
    return 10 * (ord(vm[0]) - ord("a")) + int(vm[1:])


class Stack:
    """A cluster with an operator, endpoints and a caller."""

    def __init__(
        self, *, seed: int = 1, keepers: tuple[str, ...] = ()
    ) -> None:
        """Create a stack without VMs.

        :param keepers: VMs of region "north" that store its claims
        """
        self.cluster = FakeCluster(seed=seed)
        self._keepers = keepers
        self._tasks: list[asyncio.Task] = []
        self._last_port = 3000

    def settings(self, vm: str):
        """Return the settings of a VM.

        The first letter of its name determines its region.
        """
        number = find_number(vm)
        region = {"a": "north", "b": "south", "c": "west"}[vm[0]]
        more = ""
        if self._keepers and region == "north":
            more = "[claims.keepers]\n" + "\n".join(
                f'{name} = "tcp://127.0.0.1:{1000 + find_number(name)}"'
                for name in self._keepers
            )
        return read_settings(
            SETTINGS.format(
                vm=vm,
                region=region,
                control=1000 + number,
                http=2000 + number,
                data='data_folder = "unused"' if vm == "a1" else "",
                operator=hash_token("operator"),
                endpoint=hash_token("endpoint"),
                more=more,
            )
        )

    async def start(self, *vms: str) -> None:
        """Start VMs and wait until they have formed a cluster."""
        for vm in vms:
            await self.start_vm(vm)
        await asyncio.sleep(3)

    async def start_vm(self, vm: str):
        """Start or restart a VM."""
        return await self.cluster.start_vm(self.settings(vm))

    async def crash_busy(self, *vms: str) -> None:
        """Crash the first of some VMs that has received a request."""
        for vm in vms:
            kernel = self.cluster.vms_by_id[vm].kernel
            events = kernel.find("timeline", object).events()
            if any(event.name == "request.received" for event in events):
                await self.cluster.crash_vm(vm)
                return

    async def configure(
        self, *, residency=("north", "south"), client="crew", home="north"
    ):
        """Create the resources that the tests use."""
        for region in ("north", "south", "west"):
            await self.put("region", region, {})
        regions = ["north", "south", "west"]
        await self.put("service", "planner", {"regions": regions})
        await self.put(
            "service",
            "booking",
            {
                "regions": regions,
                "type": "plain",
                "unrepeatable_paths": ["/book/*"],
            },
        )
        await self.put_client(residency=residency, client=client, home=home)
        await asyncio.sleep(3)

    async def put_client(self, *, residency, client="crew", home="north"):
        """Create or replace a client."""
        await self.put(
            "client",
            client,
            {
                "home_region": home,
                "residency": list(residency),
                "token_hashes": [hash_token("caller")],
            },
        )

    async def put(self, kind, name, spec):
        """Create or replace one resource."""
        operator = self.client("operator")
        path = f"/v1/resources/{kind}/{name}"
        known = await operator.call("GET", path)
        fields = {"spec": spec}
        if known.status == 200:
            resource = msgspec.json.decode(known.body)["resource"]
            fields["resource_version"] = resource["version"]
        body = msgspec.json.encode(fields)
        reply = await operator.call("PUT", path, body=body)
        assert reply.status == 200, reply.body

    def client(self, token, host="caller"):
        """Return a client at the first VM."""
        return GatewayClient(
            seeds=["http://127.0.0.1:2001"],
            token=token,
            clock=VirtualClock(),
            rng=random.Random(3),
            http=self.cluster.client(host),
        )

    def url(self, vm: str) -> str:
        """Return the URL of a VM."""
        return f"http://127.0.0.1:{2000 + find_number(vm)}"

    async def add_endpoint(self, endpoint, *vms, service="planner"):
        """Announce an endpoint at VMs of its data centre."""
        self._last_port += 1
        url = f"http://127.0.0.1:{self._last_port}"
        self.cluster.web.serve(url, endpoint.name, endpoint.serve)
        endpoint.url = url
        announcer = Announcer(
            http=self.cluster.client(endpoint.name),
            clock=VirtualClock(),
            entries=[self.url(vm) for vm in vms],
            token="endpoint",
            announcement=Announcement(
                endpoint_id=endpoint.name,
                incarnation=1,
                url=url,
                service=service,
                slots=8,
                software_version=endpoint.software_version,
            ),
            read_load=lambda: (endpoint.running, 0),
        )
        self._tasks.append(asyncio.create_task(announcer.run()))
        await asyncio.sleep(1)
        return endpoint

    async def complete(self, vm, prompt="hello", *, stream=True, headers=None):
        """Send a completion to a VM and return the open answer."""
        fields = {"model": "planner", "prompt": prompt, "max_tokens": 6}
        if stream:
            fields["stream"] = True
        return await self.client("caller").open(
            self.url(vm),
            "POST",
            "/v1/completions",
            msgspec.json.encode(fields),
            headers,
        )

    async def read(self, answer) -> bytes:
        """Read an answer to its end."""
        return await read_whole(answer)

    async def book(self, vm, key, *, content=b"{}", headers=None):
        """Send an unrepeatable call and return its result."""
        answer = await self.client("caller").open(
            self.url(vm),
            "POST",
            "/services/booking/book/1",
            content,
            {"idempotency-key": key, **(headers or {})},
        )
        body = await self.read(answer)
        headers = answer.headers
        verdict = headers.get("x-verdict")
        return BookingResult(answer.status, verdict, body, headers)

    async def get_ticket(self, vm):
        """Return a new key for an unrepeatable call."""
        answer = await self.client("caller").open(
            self.url(vm), "POST", "/v1/tickets"
        )
        reply = msgspec.json.decode(await self.read(answer))
        assert answer.status == 200, reply
        return reply["idempotency_key"]

    async def stop(self):
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await self.cluster.stop()


@dataclass(frozen=True)
class BookingResult:
    """The result of an unrepeatable call."""

    status: int
    verdict: str | None
    body: bytes
    headers: dict

    @property
    def code(self) -> str:
        """Return the error code of the refusal."""
        return msgspec.json.decode(self.body)["error"]["code"]
