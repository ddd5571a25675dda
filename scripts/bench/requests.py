"""Measure what a request and a streamed token cost an entry VM.

Usage: requests [--seconds S]

Options:
  --seconds S  Length of each of the seven phases [default: 4].

Starts one daemon, one engine and one plain service on loopback and sends
each sort of request in turns through the daemon and directly, so that both
meet the same machine. The daemon's processor time is read from /proc, less
what it spends idle. Takes about a minute. Linux only.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import os
import pathlib
import random
import secrets
import time

from docopt import docopt
import msgspec

from burdockdrum.client import GatewayClient
from burdockdrum.ports import read_whole
from burdockdrum.ports import UpstreamCall
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from scripts.cluster import Cluster
from scripts.cluster import EndpointPlan
from scripts.cluster import VmPlan

STREAM_TOKENS = 100
WHOLE_CALLERS = 4
STREAM_CALLERS = (4, 16, 64)
SETTLE_SECONDS = 5.0
_TICKS = os.sysconf("SC_CLK_TCK")

Send = Callable[[], Awaitable[int]]


@dataclass(frozen=True, kw_only=True)
class Load:
    """What one phase did; latencies are seconds, sorted."""

    latencies: list[float]
    tokens: int
    seconds: float
    cpu_seconds: float

    def percentile(self, share: float) -> float:
        """Return a latency in milliseconds."""
        index = min(len(self.latencies) - 1, int(share * len(self.latencies)))
        return 1000 * self.latencies[index]


def read_cpu(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS


class Measurement:
    """The callers of the measurement."""

    def __init__(self, *, cluster: Cluster, seconds: float) -> None:
        """Create the callers of a running cluster."""
        self._cluster = cluster
        self._seconds = seconds
        self._http = PooledHttpClient()
        self._token = secrets.token_urlsafe(24)
        self._urls_by_id: dict[str, str] = {}
        self._idle = 0.0

    async def prepare(self) -> None:
        """Write resources and wait until the daemon serves."""
        operator = GatewayClient(
            seeds=self._cluster.entry_urls,
            token=self._cluster.operator_token,
            clock=SystemClock(),
            rng=random.Random(1),
        )
        resources = [
            ("region", "north", {}),
            ("service", "planner", {"regions": ["north"]}),
            ("service", "roster", {"type": "plain", "regions": ["north"]}),
            (
                "client",
                "crew",
                {
                    "home_region": "north",
                    "residency": ["north"],
                    "token_hashes": [self._cluster.hash(self._token)],
                },
            ),
        ]
        for kind, name, spec in resources:
            path = f"/v1/resources/{kind}/{name}"
            body = msgspec.json.encode({"spec": spec})
            reply = await operator.call("PUT", path, body=body)
            assert reply.ok, reply.body
        await asyncio.sleep(SETTLE_SECONDS)
        reply = await operator.call("GET", "/v1/endpoints")
        for endpoint in msgspec.json.decode(reply.body):
            self._urls_by_id[endpoint["endpoint_id"]] = endpoint["url"]
        before = self._read_cpu()
        await asyncio.sleep(SETTLE_SECONDS)
        self._idle = (self._read_cpu() - before) / SETTLE_SECONDS

    async def run(self) -> None:
        """Measure and print each sort."""
        gateway = self._cluster.entry_urls[0]
        engine = self._urls_by_id["engine"]
        roster = self._urls_by_id["roster"]
        print(f"idle daemon: {100 * self._idle:.1f}% of a core")
        path = "/services/roster/crews"
        through = await self._load(self._plain(gateway + path), WHOLE_CALLERS)
        direct = await self._load(self._plain(roster + "/crews"), 4)
        self._print("plain call", through, direct)
        through = await self._load(self._complete(gateway), WHOLE_CALLERS)
        direct = await self._load(self._complete(engine), WHOLE_CALLERS)
        self._print("whole completion", through, direct)
        for callers in STREAM_CALLERS:
            through = await self._load(self.stream(gateway), callers)
            self._print(f"{callers} streams", through, None)
        await self._http.close()

    def _print(self, name: str, through: Load, direct: Load | None) -> None:
        count = len(through.latencies)
        per_request = 1000 * through.cpu_seconds / count
        line = (
            f"{name}: {count} in {through.seconds:.1f} s, "
            f"{per_request:.2f} ms CPU each"
        )
        if through.tokens:
            micros = 1e6 * through.cpu_seconds / through.tokens
            rate = through.tokens / through.seconds
            line += f", {micros:.0f} us CPU a token at {rate:.0f} a second"
        if direct is not None:
            line += f", {1000 / per_request:.0f} a core and second"
            for share in (0.5, 0.99):
                ours = through.percentile(share)
                theirs = direct.percentile(share)
                line += (
                    f"; p{share * 100:.0f} {ours:.1f} ms against "
                    f"{theirs:.1f} direct ({ours / theirs:.1f}x)"
                )
        print(line)

    async def _load(self, send: Send, callers: int) -> Load:
        latencies: list[float] = []
        tokens = 0
        before = self._read_cpu()
        started_at = time.perf_counter()
        until = started_at + self._seconds

        async def call() -> None:
            nonlocal tokens
            while time.perf_counter() < until:
                sent_at = time.perf_counter()
                count = await send()
                tokens += count
                latencies.append(time.perf_counter() - sent_at)

        await asyncio.gather(*(call() for _ in range(callers)))
        seconds = time.perf_counter() - started_at
        used = self._read_cpu() - before - seconds * self._idle
        return Load(
            latencies=sorted(latencies),
            tokens=tokens,
            seconds=seconds,
            cpu_seconds=used,
        )

    def _plain(self, url: str) -> Send:
        async def send() -> int:
            await self._call("GET", url, b"")
            return 0

        return send

    def _complete(self, url: str) -> Send:
        body = {"model": "planner", "prompt": "hello", "max_tokens": 1}
        content = msgspec.json.encode(body)

        async def send() -> int:
            await self._call("POST", url + "/v1/completions", content)
            return 0

        return send

    def stream(self, url: str) -> Send:
        """Return what reads one stream to its end, and counts its tokens."""
        body = {
            "model": "planner",
            "prompt": "hello",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        content = msgspec.json.encode(body)

        async def send() -> int:
            answer = await self._call("POST", url + "/v1/completions", content)
            assert answer.rstrip().endswith(b"[DONE]")
            return STREAM_TOKENS

        return send

    async def _call(self, method: str, url: str, body: bytes) -> bytes:
        call = UpstreamCall(
            method=method,
            url=url,
            headers={
                "authorization": f"Bearer {self._token}",
                "content-type": "application/json",
            },
            body=body,
        )
        answer = await self._http.open(call)
        content = await read_whole(answer)
        assert answer.status == 200, content
        return content

    def _read_cpu(self) -> float:
        return read_cpu(self._cluster.processes_by_name["entry"].pid)


async def measure(seconds: float) -> None:
    """Run the measurement over a cluster of its own."""
    vms = [VmPlan(vm_id="entry", region="north", control=True)]
    endpoints = [
        EndpointPlan(
            endpoint_id="engine",
            region="north",
            service="planner",
            slots=64,
            token_seconds=0.02,
        ),
        EndpointPlan(
            endpoint_id="roster", region="north", service="roster", plain=True
        ),
    ]
    async with Cluster(vms=vms, endpoints=endpoints) as cluster:
        measurement = Measurement(cluster=cluster, seconds=seconds)
        await measurement.prepare()
        await measurement.run()


def main() -> None:
    """Run the measurement."""
    arguments = docopt(__doc__)
    asyncio.run(measure(float(arguments["--seconds"])))


if __name__ == "__main__":
    main()
