"""Accept TLS connections that are counted from their accept.

uvicorn hears of a connection only when its handshake has ended, so that
others could not be preferred to one whose handshake never does.
"""

import asyncio
from collections.abc import Callable
import socket
import ssl

from burdockdrum.logs import log_failure
from burdockdrum.web.protocol import LimitedHttpProtocol

# A client sends two short messages.
HANDSHAKE_SECONDS = 10.0
# Until the next accept, after one that failed for want of descriptors.
PAUSE_SECONDS = 0.1


class TlsAcceptor:
    """Accepts connections of a listener, and waits for their handshakes."""

    def __init__(
        self,
        *,
        listener: socket.socket,
        context: ssl.SSLContext,
        make_connection: Callable[[], LimitedHttpProtocol],
        backlog: int,
    ) -> None:
        """Create an acceptor for a bound socket."""
        self._listener = listener
        self._context = context
        self._make_connection = make_connection
        self._backlog = backlog
        self._handshakes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Accept connections until cancelled, then close the listener."""
        self._listener.listen(self._backlog)
        loop = asyncio.get_running_loop()
        try:
            while True:
                try:
                    raw, _ = await loop.sock_accept(self._listener)
                except OSError as error:
                    log_failure("connection.not_accepted", reason=repr(error))
                    await asyncio.sleep(PAUSE_SECONDS)
                    continue
                task = asyncio.create_task(self._open(raw))
                self._handshakes.add(task)
                task.add_done_callback(self._handshakes.discard)
        finally:
            self._listener.close()

    async def _open(self, raw: socket.socket) -> None:
        connection = self._make_connection()
        if not connection.begin(raw):
            raw.close()
            return
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: connection,
                raw,
                ssl=self._context,
                ssl_handshake_timeout=HANDSHAKE_SECONDS,
            )
        except (OSError, TimeoutError) as error:
            # The client left, was evicted, or does not trust the certificate.
            log_failure("connection.handshake_failed", reason=repr(error))
            raw.close()
            connection.end()


def make_server_context(certificate: str, key: str) -> ssl.SSLContext:
    """Return the TLS context of a listener.

    :param certificate: the path of a PEM file, and so is ``key``
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)
    return context
