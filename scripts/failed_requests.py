"""Bring about three kinds of failed request and keep the logs.

Usage:
  failed_requests FOLDER

Real processes on loopback addresses are started and ended. The logs go to
FOLDER, one file a process; the ids of the failed requests are printed.
"""

import asyncio
import contextlib
import json
import pathlib
import shutil
import sys

from docopt import docopt

from scripts.local_deployment import call
from scripts.local_deployment import CALLERS_PORT
from scripts.local_deployment import CONTROL_PORT
from scripts.local_deployment import Deployment
from scripts.local_deployment import Machine
from scripts.local_deployment import until

REFUSED = "refused-under-load"
LOST = "lost-with-its-endpoint"
UNROUTED = "route-gone-after-change"
_SLOTS = 1
_FLOOD_REQUESTS = 40


class SlowEndpoint:
    """An endpoint that answers after a delay.

    A request for ``/now`` is answered at once; one for ``/crash`` aborts the
    connection.
    """

    def __init__(self) -> None:
        """Create an endpoint that is not open."""
        self.address = ""
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = _parse_headers(head)
                length = int(fields.get(b"content-length", b"0"))
                await reader.readexactly(length)
                if b"/crash" in head:
                    writer.transport.abort()
                    return
                if b"/now" not in head:
                    await asyncio.sleep(0.5)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: "
                    + fields[b"x-request-id"]
                    + b"\r\nContent-Length: 3\r\n\r\nran"
                )


def _parse_headers(head: bytes) -> dict[bytes, bytes]:
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in pairs}


class Scenario:
    """A deployment with one registered endpoint."""

    def __init__(self) -> None:
        """Create a deployment that is not started."""
        self.deployment = Deployment()
        self.endpoint = SlowEndpoint()
        self._sequence = 0
        self._registering: asyncio.Task | None = None

    @property
    def entry(self) -> Machine:
        """Return the entry that callers use."""
        return self.deployment.entries[0]

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return self.deployment.machines

    async def open(self) -> None:
        """Start all processes and wait until requests are answered."""
        await self.endpoint.open()
        await self.deployment.start()
        self._registering = asyncio.create_task(self._register_endpoint())
        await until(lambda: self.put_routes(1, "/fetch/"), 20)
        await self.deployment.until_ready()
        await until(self._serves)

    async def close(self) -> None:
        """Stop all processes."""
        if self._registering is not None:
            self._registering.cancel()
        await self.deployment.stop()
        self.endpoint.close()

    async def put_routes(self, version: int, prefix: str) -> bool:
        """Apply a configuration with one route."""
        document = {
            "version": version,
            "routes": [
                {
                    "name": "fetch",
                    "host": "h",
                    "path_prefix": prefix,
                    "kind": "unsafe",
                    "timeout_ms": 5000,
                    "slo_ms": 500,
                    "service": "s",
                }
            ],
            "services": [{"name": "s"}],
        }
        control = self.deployment.control[0]
        status, _ = await call(
            control.ip,
            CONTROL_PORT,
            "PUT",
            "/v1/config",
            json.dumps(document).encode(),
        )
        return status == 200

    async def send_request(
        self, request_id: str, path: str = "/fetch/x"
    ) -> int:
        """Send a request and return the status of its response."""
        headers = ("Host: h", f"X-Request-Id: {request_id}")
        status, _ = await call(
            self.entry.ip, CALLERS_PORT, "POST", path, b"q", headers
        )
        return status

    def copy_logs(self, folder: pathlib.Path) -> None:
        """Copy the logs of all processes."""
        folder.mkdir(parents=True, exist_ok=True)
        for machine in self.deployment.machines:
            source = machine.folder / "output"
            shutil.copyfile(source, folder / f"{machine.name}.log")

    async def _serves(self) -> bool:
        return await self.send_request("warm-up") == 200

    async def _register_endpoint(self) -> None:
        while True:
            self._sequence += 1
            registration = {
                "service": "s",
                "addr": self.endpoint.address,
                "zone": "a",
                "slots": _SLOTS,
                "state": "ready",
                "seq": self._sequence,
            }
            control = self.deployment.control[0]
            await call(
                control.ip,
                CONTROL_PORT,
                "PUT",
                "/v1/instances/endpoint-1",
                json.dumps(registration).encode(),
            )
            await asyncio.sleep(0.4)


async def _produce_failures(folder: pathlib.Path) -> dict[str, int]:
    scenario = Scenario()
    try:
        await scenario.open()
        flood = [
            asyncio.create_task(scenario.send_request(f"flood-{number}"))
            for number in range(_FLOOD_REQUESTS)
        ]
        await asyncio.sleep(0.3)
        statuses = {REFUSED: await scenario.send_request(REFUSED)}
        await asyncio.gather(*flood)
        statuses[LOST] = await scenario.send_request(LOST, "/fetch/crash")
        await scenario.put_routes(2, "/get/")
        await asyncio.sleep(1.0)
        statuses[UNROUTED] = await scenario.send_request(UNROUTED)
        # Log lines are buffered for 0.25 s.
        await asyncio.sleep(0.5)
        scenario.copy_logs(folder)
        return statuses
    finally:
        await scenario.close()


def main() -> int:
    """Run the scenario and print the status of each failed request.

    :returns: 0
    """
    arguments = docopt(__doc__)
    statuses = asyncio.run(
        _produce_failures(pathlib.Path(arguments["FOLDER"]))
    )
    for request_id, status in statuses.items():
        print(f"{request_id}  status {status}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
