"""A control VM freezes, wakes, and repeats an order that was replaced.

Starts three control VMs and three entries, one of each in each zone, with the
command of the deploy file. Two zones have a runner. See claim.txt.
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
# From the pages.
EVAC_SECONDS = 5.0
MAX_STRETCH_SECONDS = 8.0
CONTACT_SECONDS = 5.0
# A standard disturbance of the site: node_freeze on the core, count 1.
FREEZE_SECONDS = 4.0
OPERATOR_WAIT_SECONDS = 1.0
CHECK_IN_SECONDS = 1.2
REQUEST_INTERVAL_SECONDS = 0.1
JUDGED_SECONDS = 6.0


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

    def leads(self):
        """Return the last term in which this process was elected, or -1."""
        term = -1
        for line in (self.folder / "output").read_text().splitlines():
            if '"leader.elected"' in line:
                term = max(term, json.loads(line).get("term", 0))
        return term

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
    """A sound runner: runs what is meant for it, one request at a time."""

    def __init__(self, *, instance_id, ip, zone, record):
        self.instance_id, self.ip, self.zone = instance_id, ip, zone
        self.record = record
        # Request id, moment of arrival.
        self.ran = []
        self.sequence = 0

    async def open(self):
        return await asyncio.start_server(self._serve, self.ip, RUNNER_PORT)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                arrived = time.monotonic()
                lines = head.decode("latin-1").split("\r\n")
                path = lines[0].split(" ")[1]
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(await self._answer(path, headers, arrived))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            # The caller has left, or the case is over.
            pass
        finally:
            writer.close()

    async def _answer(self, path, headers, arrived):
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.instance_id)
        lines = [
            f"X-Request-Id: {request_id}",
            f"X-Instance-Id: {self.instance_id}",
        ]
        status, body = "200 OK", b"done"
        if expected != self.instance_id:
            status, body = "421 Misdirected Request", b""
            lines.append("X-Not-Run: 1")
        elif path == "/health":
            body = b""
        else:
            self.ran.append((request_id, arrived))
            self.record.write(f"runner {self.zone} runs {request_id}")
            await asyncio.sleep(0.02)
            lines.append(f"X-Server-Stamp: {self.instance_id}.{request_id}")
        lines.append(f"Content-Length: {len(body)}")
        return (
            f"HTTP/1.1 {status}\r\n" + "\r\n".join(lines) + "\r\n\r\n"
        ).encode() + body

    async def check_in(self, controls):
        """Check in at the first control VM that answers, again and again."""
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": "svc",
                    "addr": f"{self.ip}:{RUNNER_PORT}",
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 6,
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


class Operator:
    """Sends each order to one node, and to the next if it gets no answer."""

    def __init__(self, *, record):
        self.record = record

    async def order(self, method, path, nodes, *, body=b""):
        """Send an order until it is acknowledged.

        :returns: the moment of the acknowledgement
        """
        backoff = 0.0
        for _ in range(5):
            for node in nodes:
                await asyncio.sleep(backoff)
                backoff += 0.1
                self.record.write(
                    f"operator sends {method} {path} to {node.name}"
                )
                status, _ = await call(
                    node.ip,
                    CONTROL_PORT,
                    method,
                    path,
                    body=body,
                    seconds=OPERATOR_WAIT_SECONDS,
                )
                self.record.write(
                    f"operator gets {status or 'no answer'} for {method}"
                    f" {path} from {node.name}"
                )
                if status == 200:
                    return time.monotonic()
        raise CouldNotRun(f"{method} {path} was not acknowledged")


async def until(check, what, seconds=20.0):
    deadline = time.monotonic() + seconds
    while not await check():
        if time.monotonic() > deadline:
            raise CouldNotRun(f"{what}: not within {seconds} s")
        await asyncio.sleep(0.1)


async def send_requests(entries, record, sent, ended):
    """Send safe requests to the entries in turn."""
    number = 0
    tasks = set()
    while not ended.is_set():
        number += 1
        entry = entries[number % len(entries)]
        task = asyncio.create_task(
            send_request(entry, f"q{number}", record, sent)
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)


async def send_request(entry, request_id, record, sent):
    sent[request_id] = time.monotonic()
    status, _ = await call(
        entry.ip,
        FRONT_PORT,
        "GET",
        "/p/x",
        headers=(f"X-Request-Id: {request_id}", "X-Deadline-Ms: 3000"),
        seconds=3.0,
    )
    record.write(f"client sent {request_id} to {entry.name}, got {status}")


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
    controls, entries, runners = [], [], []
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
            (controls if is_control else entries).append(machine)
            machines.append(machine)
        if zone != ZONES[2]:
            runners.append(
                Runner(
                    instance_id=f"i-{zone}",
                    ip=f"{network}.{n + 1}.20",
                    zone=zone,
                    record=record,
                )
            )
    for machine in machines:
        machine.start()
    servers = [await runner.open() for runner in runners]
    ended = asyncio.Event()
    tasks = []
    try:
        return await play_day(record, controls, entries, runners, tasks, ended)
    finally:
        ended.set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in servers:
            server.close()
        reservation.close()


async def play_day(record, controls, entries, runners, tasks, ended):
    operator = Operator(record=record)
    config = {
        "version": 1,
        "routes": [
            {
                "name": "r",
                "host": "h.example",
                "path_prefix": "/p/",
                "kind": "safe",
                "timeout_ms": 3000,
                "slo_ms": 400,
                "priority": 0,
                "service": "svc",
                "attempts": 2,
                "sticky": False,
                "can_resume": False,
                "home_regions": [],
            }
        ],
        "services": [
            {
                "name": "svc",
                "health_path": "/health",
                "max_conns": 96,
                "proto": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
    }

    async def has_leader():
        return any(machine.leads() >= 0 for machine in controls)

    await until(has_leader, "a leader")
    await asyncio.sleep(1.0)
    await operator.order(
        "PUT", "/v1/config", controls, body=json.dumps(config).encode()
    )
    leader = max(controls, key=Machine.leads)
    # A follower in a zone that has a runner. That zone is evacuated, so that
    # no more than one zone is concerned.
    others = [machine for machine in controls if machine is not leader]
    frozen, calm = others[0], [others[1], leader]
    evacuated = frozen.zone
    record.write(f"{leader.name} leads; {frozen.name} is to freeze")
    for runner in runners:
        tasks.append(asyncio.create_task(runner.check_in(calm)))

    async def is_ready():
        answers = [
            await call(e.ip, READY_PORT, "GET", "/v1/ready", seconds=1.0)
            for e in entries
        ]
        return all(status == 200 for status, _ in answers)

    await until(is_ready, "ready entries")
    sent = {}
    clients = asyncio.create_task(
        send_requests(entries[:2], record, sent, ended)
    )
    tasks.append(clients)

    async def are_used():
        return all(runner.ran for runner in runners)

    await until(are_used, "requests at both runners")

    path = f"/v1/evac/{evacuated}"
    await operator.order("POST", path, calm)
    await asyncio.sleep(2.0)
    thawed_at = time.monotonic()
    if TROUBLE:
        frozen.process.send_signal(signal.SIGSTOP)
        record.write(f"{frozen.name} freezes")
    froze_at = time.monotonic()
    # The zone is taken back, and emptied again a moment later.
    await operator.order("DELETE", path, [frozen, *calm])
    await asyncio.sleep(1.0)
    evacuated_at = await operator.order("POST", path, calm)
    if TROUBLE:
        await asyncio.sleep(
            max(0.0, froze_at + FREEZE_SECONDS - time.monotonic())
        )
        frozen.process.send_signal(signal.SIGCONT)
        thawed_at = time.monotonic()
        record.write(f"{frozen.name} wakes")

    # The longest that the bound may be stretched, and all in touch again.
    judged_from = (
        max(
            evacuated_at + EVAC_SECONDS + MAX_STRETCH_SECONDS,
            thawed_at + CONTACT_SECONDS,
        )
        + 0.5
    )
    await asyncio.sleep(judged_from + JUDGED_SECONDS - time.monotonic())
    ended.set()
    await clients
    for machine in [*controls, *entries]:
        if machine.process.poll() is not None:
            raise CouldNotRun(f"{machine.name} ended by itself")
    late = [
        (request_id, arrived)
        for runner in runners
        if runner.zone == evacuated
        for request_id, arrived in runner.ran
        if sent.get(request_id, 0.0) >= judged_from
    ]
    judged = [r for r, at in sent.items() if at >= judged_from]
    record.write(
        f"{len(judged)} requests were sent later than "
        f"{judged_from - evacuated_at:.1f} s after the evacuation of "
        f"{evacuated} was acknowledged for the last time"
    )
    for request_id, arrived in late[:5]:
        record.write(
            f"EVAC: {request_id} reached the runner in {evacuated} "
            f"{arrived - evacuated_at:.1f} s after the acknowledgement"
        )
    record.write(f"{len(late)} of them reached the runner in {evacuated}")
    if not judged:
        raise CouldNotRun("no request was sent in the time that counts")
    return bool(late)


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
    print("EVAC broken" if broken else "EVAC held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
