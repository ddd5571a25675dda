"""Streams of a version that only a lost region had are taken up elsewhere.

Starts three control VMs and three entries, one of each in each region, with
the command of the deploy file. Each region has a runner; that of the first
region has a newer software version. See claim.txt.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = ("za", "zb", "zc")
CONTROL_PORT, FRONT_PORT, READY_PORT, DIRECTORY_PORT = 8146, 8144, 8140, 8143
RUNNER_PORT = 8080
INTERNAL_PORTS = [7660, 7675]
# The port of the metrics that the deploy file names.
METRICS_PORT = 9464
MAX_SECONDS = 110.0
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_ms": 250,
    "max_stretch_ms": 8000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_burst": 52,
    "evac_ms": 5000,
    "recover_s": 12,
    "ttl_max_s": 5,
}
LOST_ZONE, RESTARTED_ZONE = "za", "zb"
VERSIONS = {"za": "v2", "zb": "v1", "zc": "v1"}
CHECK_IN_SECONDS = 1.2
# A process that is killed is started again after a short delay.
RESTART_SECONDS = 0.5
STREAMS = 20
STREAM_SECONDS = 10.0
# Clients abandon a stream after a gap of two seconds, four times the objective
# or eight times the longest pause: here 4 x 800 ms and 8 x 400 ms.
GAP_SECONDS = 3.2
EVENTS = 45
EVENT_SECONDS = 0.08
# When the region is lost, after the streams began.
LOSS_SECONDS = 1.5
# The rule allows for two.
MAX_MIXED = 2


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self):
        self.began = time.monotonic()
        self.file = (HERE / "record.txt").open("w")

    def write(self, text):
        seconds = time.monotonic() - self.began
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()


class Machine:
    """One process of the system."""

    def __init__(self, *, name, ip, zone, is_control, seeds, folder):
        self.name, self.ip, self.zone = name, ip, zone
        self.folder = folder / name
        self.folder.mkdir()
        self.process = None
        listen = {"directory": f"{ip}:{DIRECTORY_PORT}"}
        if is_control:
            listen["control"] = f"{ip}:{CONTROL_PORT}"
        else:
            listen["front"] = f"{ip}:{FRONT_PORT}"
            listen["ready"] = f"{ip}:{READY_PORT}"
        fields = {
            "node": name,
            "role": "control" if is_control else "entry",
            "machine_class": "core" if is_control else "front",
            "serves": sorted(set(listen) - {"ready"}),
            "ip": ip,
            "zone": zone,
            "region": f"r-{zone}",
            "internal_port_range": INTERNAL_PORTS,
            "seeds": seeds,
            "first_start": True,
            "bear_loss": is_control,
        }
        if is_control:
            data = self.folder / "data"
            data.mkdir()
            fields["data_dir"] = str(data)
        tables = {
            "zones": {zone: f"r-{zone}" for zone in ZONES},
            "listen": listen,
            "tolerate": {"machines": 1, "zones": 1, "regions": 1},
            "bounds": BOUNDS,
        }
        lines = [f"{k} = {json.dumps(v)}" for k, v in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in values.items()]
        self.settings = self.folder / "node.toml"
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BURDOCKDRUM_BOOT": str(self.settings),
        }
        with (self.folder / "output").open("ab") as log:
            # The command of deploy/system.toml.
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/vm.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def stop(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def call(ip, port, method, path, *, body=b"", headers=(), seconds):
    """Send a request on a new connection.

    :returns: the status and the headers; status 0 if there is no response
    """
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: h.example",
                "Connection: close",
                *headers,
            ]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            data = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    head = data.partition(b"\r\n\r\n")[0]
    parts = head.split(b" ")
    return (int(parts[1]), head) if len(parts) > 1 else (0, b"")


class Runner:
    """A sound runner of one software version, which writes streams."""

    def __init__(self, *, instance_id, ip, zone, record):
        self.instance_id, self.ip, self.zone = instance_id, ip, zone
        self.version = VERSIONS[zone]
        self.record = record
        self.sequence = 0
        self.server = None
        self.writers = set()
        # Without power it sends nothing, and nothing ends its connections.
        self.has_power = asyncio.Event()
        self.has_power.set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, RUNNER_PORT
        )

    def close(self):
        """End with all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                path = lines[0].split(" ")[1]
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                await self.has_power.wait()
                await self._answer(writer, path, headers)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            # The caller has left, or the case is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, writer, path, headers):
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.instance_id)
        lines = [
            f"X-Request-Id: {request_id}",
            f"X-Instance-Id: {self.instance_id}",
        ]
        if expected != self.instance_id or path == "/health":
            status = "200 OK"
            if expected != self.instance_id:
                status = "421 Misdirected Request"
                lines.append("X-Not-Run: 1")
            lines.append("Content-Length: 0")
            writer.write(encode_head(status, lines))
            return
        first = int(headers.get("last-event-id", 0)) + 1
        self.record.write(
            f"runner {self.instance_id} ({self.version}) runs {request_id}"
            f" from event {first}"
        )
        lines += [
            f"X-Server-Stamp: {self.instance_id}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(encode_head("200 OK", lines))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            await self.has_power.wait()
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def check_in(self, controls):
        """Check in at the first control VM that answers, again and again."""
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": "svc",
                    "addr": f"{self.ip}:{RUNNER_PORT}",
                    "zone": self.zone,
                    "version": self.version,
                    "slots": 32,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "seq": self.sequence,
                }
            ).encode()
            for machine in controls:
                status, _ = await call(
                    machine.ip,
                    CONTROL_PORT,
                    "PUT",
                    f"/v1/instances/{self.instance_id}",
                    body=body,
                    seconds=1.0,
                )
                if status == 200:
                    break
            await asyncio.sleep(CHECK_IN_SECONDS)


def encode_head(status, lines):
    text = f"HTTP/1.1 {status}\r\n" + "\r\n".join(lines) + "\r\n\r\n"
    return text.encode()


class Client:
    """Reads one stream, and takes it up elsewhere if it breaks off."""

    def __init__(self, *, number, record):
        self.number, self.record = number, record
        self.tries = 0
        self.first_id = None
        # The versions that wrote the events, by the events' numbers.
        self.versions = {}
        self.is_complete = False

    async def read(self, entry, others):
        """Read the stream at an entry; take it up once if it breaks off.

        Then it connects to one of the others, drawn by lot, or if that fails
        to the next.
        """
        ends_at = time.monotonic() + STREAM_SECONDS
        await self._try(entry, ends_at)
        if self.is_complete:
            return
        for other in random.sample(others, len(others)):
            if await self._try(other, ends_at):
                return

    async def _try(self, entry, ends_at):
        """Send the request; return whether a connection was opened."""
        left = ends_at - time.monotonic()
        if left <= 0:
            return True
        self.tries += 1
        request_id = f"c{self.number}t{self.tries}"
        lines = [
            "POST /p/x HTTP/1.1",
            "Host: h.example",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {int(left * 1000)}",
            "Connection: close",
            "Content-Length: 2",
        ]
        if self.versions:
            lines.append(f"Last-Event-Id: {max(self.versions)}")
            lines.append(f"Resumes: {self.first_id}")
        before = len(self.versions)
        status = await self._exchange(entry, request_id, lines, left)
        self.record.write(
            f"client {self.number} sent {request_id} to {entry.name}, got"
            f" {status or 'no answer'}, events {before + 1} to"
            f" {len(self.versions)} of {sorted(set(self.versions.values()))}"
            f"{', complete' if self.is_complete else ''}"
        )
        return status is not None

    async def _exchange(self, entry, request_id, lines, left):
        """Return the status, 0 without a response, None if not connected."""
        writer = status = None
        try:
            async with asyncio.timeout(left):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        entry.ip, FRONT_PORT
                    )
                status = 0
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n{}")
                head = await reader.readuntil(b"\r\n\r\n")
                status = int(head.split(b" ")[1])
                if status == 200:
                    await self._read_events(reader, request_id)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        return status

    async def _read_events(self, reader, request_id):
        text = b""
        while True:
            async with asyncio.timeout(GAP_SECONDS):
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
            if not size:
                self.is_complete = True
                return
            text += chunk[:-2]
            *events, text = text.split(b"\n\n")
            for event in events:
                fields = dict(
                    line.split(b": ", 1) for line in event.split(b"\n")
                )
                if not self.versions:
                    self.first_id = request_id
                self.versions[int(fields[b"id"])] = fields[b"data"].decode()


async def until(check, what, seconds=25.0):
    deadline = time.monotonic() + seconds
    while not await check():
        if time.monotonic() > deadline:
            raise CouldNotRun(f"{what}: not within {seconds} s")
        await asyncio.sleep(0.1)


def reserve_network():
    """Return a socket that reserves a loopback network, and its prefix."""
    first = random.SystemRandom().randrange(250)
    for count in range(250):
        network = f"127.{1 + (first + count) % 250}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.250.9", CONTROL_PORT))
            check_free(network)
        except OSError:
            reservation.close()
            continue
        return reservation, network
    raise CouldNotRun("no free loopback network")


def check_free(network):
    """Check that the addresses of all processes are free.

    :raises OSError: if one is not
    """
    ports = (
        *INTERNAL_PORTS,
        INTERNAL_PORTS[0] + 1,
        CONTROL_PORT,
        FRONT_PORT,
        READY_PORT,
        DIRECTORY_PORT,
        RUNNER_PORT,
        METRICS_PORT,
    )
    for zone in range(len(ZONES)):
        for host in (1, 10, 20):
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f"{network}.{zone + 1}.{host}", port))


async def play(record, folder, machines):
    """Play the case; return whether the rule was broken."""
    reservation, network = reserve_network()
    seeds = [f"{network}.{n + 1}.1:{CONTROL_PORT}" for n in range(len(ZONES))]
    controls, entries, runners = {}, {}, {}
    for n, zone in enumerate(ZONES):
        for is_control, host in ((True, 1), (False, 10)):
            machine = Machine(
                name=f"{'core' if is_control else 'front'}-{zone}",
                ip=f"{network}.{n + 1}.{host}",
                zone=zone,
                is_control=is_control,
                seeds=seeds,
                folder=folder,
            )
            (controls if is_control else entries)[zone] = machine
            machines.append(machine)
        runners[zone] = Runner(
            instance_id=f"i-{zone}",
            ip=f"{network}.{n + 1}.20",
            zone=zone,
            record=record,
        )
    tasks = {}
    try:
        for machine in machines:
            machine.start()
        for runner in runners.values():
            await runner.open()
        return await play_day(record, controls, entries, runners, tasks)
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        for runner in runners.values():
            runner.close()
        reservation.close()


async def play_day(record, controls, entries, runners, tasks):
    config = {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": "h.example",
                "path_prefix": "/p/",
                "kind": "stream",
                "timeout_ms": 10000,
                "slo_ms": 800,
                "priority": 1,
                "service": "svc",
                "attempts": 2,
                "sticky": False,
                "can_resume": True,
                "gap_target_ms": 400,
                "home_regions": [],
            }
        ],
        "services": [
            {
                "name": "svc",
                "health_path": "/health",
                "max_conns": 230,
                "proto": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
    }
    body = json.dumps(config).encode()

    async def is_configured():
        status, _ = await call(
            controls["zb"].ip,
            CONTROL_PORT,
            "PUT",
            "/v1/config",
            body=body,
            seconds=1.0,
        )
        return status == 200

    await until(is_configured, "a config")
    for zone, runner in runners.items():
        # The nearest first.
        nodes = sorted(controls.values(), key=lambda m: m.zone != zone)
        tasks[zone] = asyncio.create_task(runner.check_in(nodes))

    async def are_ready():
        answers = [
            await call(e.ip, READY_PORT, "GET", "/v1/ready", seconds=1.0)
            for e in entries.values()
        ]
        return all(status == 200 for status, _ in answers)

    await until(are_ready, "ready entries")
    # All entries have heard of all runners.
    await asyncio.sleep(3.0)
    clients = [Client(number=n, record=record) for n in range(STREAMS)]
    others = [entries[RESTARTED_ZONE], entries["zc"]]
    reads = [
        asyncio.create_task(client.read(entries[LOST_ZONE], others))
        for client in clients
    ]
    await asyncio.sleep(LOSS_SECONDS)
    if not all(client.versions for client in clients):
        raise CouldNotRun("some stream has not begun")
    if TROUBLE:
        # All of its machines fall silent, as without power.
        record.write(f"region r-{LOST_ZONE} is lost")
        tasks.pop(LOST_ZONE).cancel()
        runners[LOST_ZONE].has_power.clear()
        controls[LOST_ZONE].process.send_signal(signal.SIGSTOP)
        entries[LOST_ZONE].process.send_signal(signal.SIGSTOP)
        if os.environ.get("RESTART", "1") != "0":
            restarted = entries[RESTARTED_ZONE]
            record.write(f"{restarted.name} is killed")
            restarted.stop()
            await asyncio.sleep(RESTART_SECONDS)
            restarted.start()
            record.write(f"{restarted.name} starts again")
    await asyncio.gather(*reads)
    mixed = 0
    for client in clients:
        versions = [client.versions[n] for n in sorted(client.versions)]
        kinds = sorted(set(versions))
        mixed += len(kinds) > 1
        record.write(
            f"client {client.number}: {len(versions)} events of {kinds}"
            f"{', complete' if client.is_complete else ''}"
        )
    record.write(f"{mixed} of {STREAMS} streams hold events of two versions")
    return mixed > MAX_MIXED


async def play_in_time(record, folder, machines):
    """Play the case, unless it takes too long."""
    async with asyncio.timeout(MAX_SECONDS):
        return await play(record, folder, machines)


def main():
    # Ends the processes of the case also if this one is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record()
    machines = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(
                play_in_time(record, pathlib.Path(folder), machines)
            )
        except Exception as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            for machine in machines:
                machine.stop()
    print("ORDER broken" if broken else "ORDER held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
