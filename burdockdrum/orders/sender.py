"""Sends orders to endpoints."""

from typing import Protocol

from loguru import logger
import msgspec

from burdockdrum.leases import LeaseNotHeld
from burdockdrum.orders.model import Order
from burdockdrum.orders.model import OrderOutcome
from burdockdrum.orders.model import PlannedOrder
from burdockdrum.orders.ports import Leases
from burdockdrum.ports import AnswerLost
from burdockdrum.ports import ConnectFailed
from burdockdrum.ports import HttpClient
from burdockdrum.ports import UpstreamCall
from burdockdrum.timeline import Timeline

_CONFLICT = 409
_OK = 200


class OrderSender(Protocol):
    """Interface through which the reconciler sends orders."""

    async def send(self, planned: PlannedOrder, order_id: str) -> OrderOutcome:
        """Send an order and return its outcome."""
        ...


class HttpOrderSender:
    """Sends orders over HTTP with the fencing number of the lease.

    For endpoints that don't check fencing numbers, the lease's ``order``
    waits until all orders of the previous holder have ended.
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

    async def send(self, planned: PlannedOrder, order_id: str) -> OrderOutcome:
        """Send an order and return its outcome.

        Loading takes longer than the timeout of an order. The endpoint's
        reports show when it is done, so a timeout is not an error.
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

    async def _post(self, planned: PlannedOrder, order: Order) -> OrderOutcome:
        call = UpstreamCall(
            method="POST",
            url=planned.endpoint.url + "/orders",
            headers={"content-type": "application/json"},
            body=msgspec.json.encode(order),
        )
        try:
            response = await self._http.open(call)
        except ConnectFailed:
            return OrderOutcome.NOT_SENT
        except AnswerLost:
            return OrderOutcome.UNKNOWN
        await response.close()
        if response.status == _OK:
            return OrderOutcome.ACCEPTED
        if response.status != _CONFLICT:
            logger.warning(
                "endpoint {} responded with status {} to order {}",
                planned.endpoint.endpoint_id,
                response.status,
                order.order_id,
            )
        return OrderOutcome.REFUSED
