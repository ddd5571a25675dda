"""Ask an endpoint for its health, to learn whether it responds at all."""

import asyncio
from collections.abc import Callable

from burdockdrum.http1 import ClientConnection
from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import encode_request
from burdockdrum.http1 import NotConnected
from burdockdrum.http1 import ResponseHead
from burdockdrum.http1 import ResponseLost
from burdockdrum.logs import log_decision
from burdockdrum.passthrough.relaying.attempts import CONNECT_TIMEOUT_SECONDS
from burdockdrum.passthrough.relaying.connecting import connect_awake
from burdockdrum.pauses import PauseDetector
from burdockdrum.registrations import RegisteredEndpoint

# A health request waits for a slot like any other.
RESPONSE_TIMEOUT_SECONDS = 1.0


class HealthChecker:
    """Checks endpoints on connections of their own."""

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        read_path: Callable[[str], str | None],
        observe: Callable[[RegisteredEndpoint, ResponseHead], None],
        pauses: PauseDetector | None = None,
    ) -> None:
        """Create it.

        :param read_path: returns the health path of a service, None if it is
            unknown
        :param observe: called with the head of each response
        :param pauses: detects pauses of this process; none if None
        """
        self._pauses = pauses
        self._pool = pool
        self._read_path = read_path
        self._observe = observe

    async def check(self, endpoint: RegisteredEndpoint) -> None:
        """Wait for a response, whatever it says, or a reset.

        :raises NotConnected: if the endpoint is silent
        """
        address = endpoint.address
        connection = await connect_awake(
            lambda timeout: self._pool.open(address, timeout=timeout),
            CONNECT_TIMEOUT_SECONDS,
            self._pauses,
        )
        path = self._read_path(endpoint.service) or "/"
        payload = encode_request(
            b"GET", path.encode(), [(b"host", address.encode())]
        )
        try:
            connection.send(payload, None)
            head = await self._wait_for_head(connection)
            self._observe(endpoint, head)
        except ResponseLost as error:
            # A reset is an answer too.
            log_decision(
                "endpoint.health_response_lost",
                endpoint_id=endpoint.endpoint_id,
                reason=str(error),
            )
        except TimeoutError:
            raise NotConnected(
                f"{address}: no response in {RESPONSE_TIMEOUT_SECONDS} s"
            ) from None
        finally:
            # The rest of the response is not read.
            self._pool.release(address, connection, max_idle=0)

    async def _wait_for_head(
        self, connection: ClientConnection
    ) -> ResponseHead:
        """Wait for a response; pauses of this process don't count.

        :raises ResponseLost: if the connection ends first
        :raises TimeoutError: if nothing arrives
        """
        began = self._pauses.monotonic() if self._pauses is not None else 0.0
        left = RESPONSE_TIMEOUT_SECONDS
        while True:
            try:
                async with asyncio.timeout(left):
                    return await connection.read_head()
            except TimeoutError:
                if self._pauses is None:
                    raise
                waited = self._pauses.awake_seconds_since(began)
                left = RESPONSE_TIMEOUT_SECONDS - waited
                if left <= 0:
                    raise
