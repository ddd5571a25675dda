"""Send one order to one endpoint."""

from typing import Protocol

from loguru import logger
import msgspec

from burdockdrum.leases import LeaseNotHeld
from burdockdrum.orders.model import Order
from burdockdrum.orders.model import OrderOutcome
from burdockdrum.orders.model import Planned
from burdockdrum.orders.ports import Leases
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamCall
from burdockdrum.timeline import Timeline

_CONFLICT = 409
_OK = 200


class Sender(Protocol):
    """What the reconciler gives orders through."""

    async def send(self, planned: Planned, order_id: str) -> OrderOutcome:
        """Send an order; say what came of it."""
        ...


class HttpSender:
    """Give orders under the lease, with its fencing number.

    For endpoints that check no number, the lease's ``order`` waits until
    every order of the holder before has ended, and bounds this one.
    """

    def __init__(
        self,
        *,
        http: HttpClient,
        leases: Leases,
        lease_name: str,
        timeline: Timeline,
    ) -> None:
        """Create a sender."""
        self._http = http
        self._leases = leases
        self._lease_name = lease_name
        self._timeline = timeline

    async def send(self, planned: Planned, order_id: str) -> OrderOutcome:
        """Send an order; say what came of it.

        An endpoint loads for longer than an order may take: its reports
        tell when it is done, so an answer that does not come is no fault.
        """
        try:
            async with self._leases.order(
                self._lease_name, checks_fencing=planned.checks_fencing
            ) as lease:
                order = Order(
                    order_id=order_id,
                    kind=planned.kind,
                    value=planned.value,
                    fencing_number=lease.fencing,
                )
                outcome = await self._post(planned, order)
        except LeaseNotHeld:
            return OrderOutcome.NOT_SENT
        except TimeoutError:
            outcome = OrderOutcome.UNKNOWN
        self._timeline.record(
            "order.sent",
            order_id=order_id,
            endpoint_id=planned.endpoint.endpoint_id,
            outcome=outcome.value,
        )
        return outcome

    async def _post(self, planned: Planned, order: Order) -> OrderOutcome:
        call = UpstreamCall(
            method="POST",
            url=planned.endpoint.url + "/orders",
            headers={"content-type": "application/json"},
            body=msgspec.json.encode(order),
        )
        try:
            answer = await self._http.open(call)
        except ConnectFailed:
            return OrderOutcome.NOT_SENT
        except AnswerLost:
            return OrderOutcome.UNKNOWN
        await answer.close()
        if answer.status == _OK:
            return OrderOutcome.TAKEN
        if answer.status != _CONFLICT:
            logger.warning(
                "{} answered {} to {}",
                planned.endpoint.endpoint_id,
                answer.status,
                order.order_id,
            )
        return OrderOutcome.REFUSED
