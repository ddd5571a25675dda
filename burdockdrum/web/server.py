"""Run the application with uvicorn in the daemon's event loop."""

import asyncio
from collections.abc import Iterator
import contextlib
import functools
import socket
from typing import cast

from blacksheep import Application
import uvicorn

from burdockdrum.overload import make_limits
from burdockdrum.overload import ProcessLimits
from burdockdrum.web.acceptor import make_server_context
from burdockdrum.web.acceptor import TlsAcceptor
from burdockdrum.web.protocol import LimitedHttpProtocol

_TICKS_PER_SECOND = 10


class _Server(uvicorn.Server):
    """uvicorn without its signal handlers, as the daemon has its own."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stopping = asyncio.Event()

    async def main_loop(self) -> None:
        """Update the date header once a second until stopped.

        Replaces uvicorn's loop, which polls for the stop flag ten times a
        second.
        """
        tick = 0
        while not await self.on_tick(tick):
            # uvicorn updates the header at every tenth tick.
            tick += _TICKS_PER_SECOND
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
        process_limits: ProcessLimits | None = None,
    ) -> None:
        """Create a server for a bound socket.

        :param process_limits: what all connections of the process may use
            together; by default those of the system, for this server alone
        """
        limits = process_limits or make_limits()
        protocol = functools.partial(
            LimitedHttpProtocol, process_limits=limits
        )
        self.stopped = asyncio.Event()
        self._application = application
        self._listener = listener
        self._server = _Server(
            uvicorn.Config(
                application,
                log_config=None,
                access_log=False,
                lifespan="off",
                backlog=limits.backlog,
                http=cast(type[asyncio.Protocol], protocol),
            )
        )

        self._acceptor: TlsAcceptor | None = None
        self._accepting: asyncio.Task[None] | None = None
        if certificate_file is not None and key_file is not None:
            self._acceptor = TlsAcceptor(
                listener=listener,
                context=make_server_context(certificate_file, key_file),
                make_connection=lambda: protocol(
                    config=self._server.config,
                    server_state=self._server.server_state,
                    app_state={},
                ),
                backlog=limits.backlog,
            )

    async def run(self) -> None:
        """Serve until ``stop`` is called and every response is sent."""
        await self._application.start()
        sockets = [self._listener]
        if self._acceptor is not None:
            sockets = []
            self._accepting = asyncio.create_task(self._acceptor.run())
        try:
            await self._server.serve(sockets=sockets)
        except asyncio.CancelledError:
            self._server.force_exit = True
            raise
        finally:
            self._stop_accepting()
            await self._application.stop()
            self.stopped.set()

    def stop(self) -> None:
        """Stop accepting connections and finish the running requests."""
        self._stop_accepting()
        self._server.should_exit = True
        self._server.stopping.set()

    def _stop_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()


def bind(host: str, port: int) -> socket.socket:
    """Return a bound socket; port 0 selects a free one."""
    listener = socket.socket(
        socket.AF_INET6 if ":" in host else socket.AF_INET,
        socket.SOCK_STREAM,
        # asyncio sets TCP_NODELAY only if the protocol is given. With
        # Nagle's algorithm the second write of a response waits for the
        # peer's delayed acknowledgement, about 40 ms.
        socket.IPPROTO_TCP,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener
