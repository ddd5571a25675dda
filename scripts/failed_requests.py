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
MISPLACED = "route-gone-after-change"
_SLOTS = 1
_FLOOD = 40


class Runner:
    """An endpoint that answers slowly, or at once, or crashes if told to."""

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
                fields = _fields(head)
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


def _fields(head: bytes) -> dict[bytes, bytes]:
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in pairs}


class Scene:
    """A deployment with one endpoint."""

    def __init__(self) -> None:
        """Create it; ``open`` starts the processes."""
        self.deployment = Deployment()
        self.runner = Runner()
        self._sequence = 0
        self._checking_in: asyncio.Task | None = None

    @property
    def entry(self) -> Machine:
        """Return the entry that callers use."""
        return self.deployment.entries[0]

    @property
    def machines(self) -> list[Machine]:
        """Return all machines."""
        return self.deployment.machines

    async def open(self) -> None:
        """Start everything and wait until it serves."""
        await self.runner.open()
        await self.deployment.start()
        self._checking_in = asyncio.create_task(self._check_in())
        await until(lambda: self.put_routes(1, "/fetch/"), 20)
        await self.deployment.until_ready()
        await until(self._is_served)

    async def close(self) -> None:
        """End everything that was started."""
        if self._checking_in is not None:
            self._checking_in.cancel()
        await self.deployment.stop()
        self.runner.close()

    async def put_routes(self, version: int, prefix: str) -> bool:
        """Bring a table with one route into force."""
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

    async def ask(self, request_id: str, path: str = "/fetch/x") -> int:
        """Send a request and return the status of its answer."""
        headers = ("Host: h", f"X-Request-Id: {request_id}")
        status, _ = await call(
            self.entry.ip, CALLERS_PORT, "POST", path, b"q", headers
        )
        return status

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy what the processes wrote."""
        folder.mkdir(parents=True, exist_ok=True)
        for machine in self.deployment.machines:
            source = machine.folder / "output"
            shutil.copyfile(source, folder / f"{machine.name}.log")

    async def _is_served(self) -> bool:
        return await self.ask("warm-up") == 200

    async def _check_in(self) -> None:
        while True:
            self._sequence += 1
            said = {
                "service": "s",
                "addr": self.runner.address,
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
                json.dumps(said).encode(),
            )
            await asyncio.sleep(0.4)


async def _fail_three_ways(folder: pathlib.Path) -> dict[str, int]:
    scene = Scene()
    try:
        await scene.open()
        flood = [
            asyncio.create_task(scene.ask(f"flood-{number}"))
            for number in range(_FLOOD)
        ]
        await asyncio.sleep(0.3)
        statuses = {REFUSED: await scene.ask(REFUSED)}
        await asyncio.gather(*flood)
        statuses[LOST] = await scene.ask(LOST, "/fetch/crash")
        await scene.put_routes(2, "/get/")
        await asyncio.sleep(1.0)
        statuses[MISPLACED] = await scene.ask(MISPLACED)
        # Lines wait for a quarter of a second before they are written.
        await asyncio.sleep(0.5)
        scene.keep_logs(folder)
        return statuses
    finally:
        await scene.close()


def main() -> int:
    """Run the scene and print what each caller got.

    :returns: 0
    """
    arguments = docopt(__doc__)
    statuses = asyncio.run(_fail_three_ways(pathlib.Path(arguments["FOLDER"])))
    for request_id, status in statuses.items():
        print(f"{request_id}  status {status}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
