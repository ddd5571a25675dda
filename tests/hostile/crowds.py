"""Crowds of clients outside the limits, and what they cost a process."""

import asyncio
import contextlib
import pathlib
import resource
import socket

BODY_BYTES = 4 * 1024 * 1024
MEBIBYTE = 1024 * 1024
SAMPLE_SECONDS = 0.05
# How long a crowd keeps its connections after it has sent everything.
HOLD_SECONDS = 2.0
CONNECT_SECONDS = 5.0
# The receive buffer of a client that does not read.
UNREAD_BYTES = 4096


def post(path, *headers):
    """Return the head of a POST, without its last empty line."""
    lines = [f"POST {path} HTTP/1.1", "Host: h", *headers]
    return "\r\n".join(lines).encode() + b"\r\n"


def sized_body(path, *headers, missing=1):
    """Return a request of the largest legal size, short of its end."""
    head = post(path, *headers, f"Content-Length: {BODY_BYTES}")
    return head + b"\r\n" + bytes(BODY_BYTES - missing)


def chunked_body(path, *headers, chunk_bytes, is_whole=False):
    """Return a request of the largest legal size in chunks."""
    head = post(path, *headers, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    count = BODY_BYTES // chunk_bytes
    end = b"0\r\n\r\n" if is_whole else b""
    return head + b"\r\n" + chunk * (count if is_whole else count - 1) + end


def many_headers(path, size):
    """Return a head of headers of three bytes, not ended."""
    return post(path) + b"a:\r\n" * (size // 4)


def long_header(path, size):
    """Return a head of one header, not ended."""
    return post(path) + b"a: " + b"x" * size


def pipelined(path, count):
    """Return requests one behind the other."""
    return (f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()) * count


class Crowd:
    """Connections that send the same bytes and stay open."""

    def __init__(self, *, ip, port):
        """Create a crowd that is not connected."""
        self.ip = ip
        self.port = port
        self.writers = []
        self.answers = []

    async def run(self, data, *, count, reads=True):
        """Send everything on all connections, then hold them open."""
        await asyncio.gather(
            *(self._send(data, reads=reads) for _ in range(count))
        )

    def close(self):
        """Abort all connections."""
        for writer in self.writers:
            writer.transport.abort()

    async def _send(self, data, *, reads):
        # The process may refuse the connection or close it at any time.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await self._connect(reads=reads)
            self.writers.append(writer)
            answer = asyncio.create_task(self._read(reader, reads=reads))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(HOLD_SECONDS):
                    writer.write(data)
                    await writer.drain()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOLD_SECONDS):
                    await asyncio.shield(answer)
            answer.cancel()

    async def _connect(self, *, reads):
        raw = socket.socket()
        raw.setblocking(False)
        if not reads:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, (self.ip, self.port))
        return await asyncio.open_connection(sock=raw)

    async def _read(self, reader, *, reads):
        if not reads:
            await asyncio.Event().wait()
        with contextlib.suppress(OSError):
            if head := await reader.readline():
                self.answers.append(head)
            while await reader.read(MEBIBYTE):
                pass


class Gauge:
    """The highest memory and number of descriptors of a process."""

    def __init__(self, process_id):
        """Create a gauge of a process that runs."""
        self.folder = pathlib.Path("/proc") / str(process_id)
        self.descriptors = 0

    @property
    def memory_mb(self):
        """The highest resident memory since the start of the process."""
        for line in (self.folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    async def sample(self):
        """Count open descriptors until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                count = sum(1 for _ in (self.folder / "fd").iterdir())
                self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(SAMPLE_SECONDS)


def allow_descriptors(count):
    """Let this process open descriptors for a crowd, up to its hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))
