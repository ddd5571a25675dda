"""Run the application under uvicorn inside the daemon's event loop."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket

from blacksheep import Application
import uvicorn

BACKLOG = 1024
_TICKS_A_SECOND = 10


class _Server(uvicorn.Server):
    """uvicorn without its signal handlers: the daemon has its own."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        """Keep the date header until told to stop.

        uvicorn's own loop wakes up ten times a second to look whether it
        should stop.
        """
        tick = 0
        while not await self.on_tick(tick):
            # uvicorn makes the header anew at each tenth tick.
            tick += _TICKS_A_SECOND
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class WebServer:
    """An HTTP listener that serves an application."""

    def __init__(
        self,
        *,
        application: Application,
        listener: socket.socket,
        certificate_file: str | None = None,
        key_file: str | None = None,
    ) -> None:
        """Take over a bound socket."""
        self.stopped = asyncio.Event()
        self._application = application
        self._listener = listener
        self._server = _Server(
            uvicorn.Config(
                application,
                log_config=None,
                access_log=False,
                lifespan="off",
                backlog=BACKLOG,
                ssl_certfile=certificate_file,
                ssl_keyfile=key_file,
            )
        )

    async def run(self) -> None:
        """Serve until ``stop`` is called and every answer is finished."""
        await self._application.start()
        try:
            await self._server.serve(sockets=[self._listener])
        except asyncio.CancelledError:
            self._server.force_exit = True
            raise
        finally:
            await self._application.stop()
            self.stopped.set()

    def stop(self) -> None:
        """Accept no new connection; running answers are finished."""
        self._server.should_exit = True
        self._server.stopping.set()


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes a free one."""
    listener = socket.socket(
        socket.AF_INET6 if ":" in host else socket.AF_INET,
        socket.SOCK_STREAM,
        # asyncio turns off Nagle's algorithm only where the protocol is
        # named: without it the second write of an answer waits 40 ms for
        # the caller's delayed acknowledgement.
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener
