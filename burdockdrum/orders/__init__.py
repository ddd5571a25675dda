"""Orders that load and unload models on endpoints, under a fenced lease."""

from burdockdrum.orders.budget import WeightLoadLimiter
from burdockdrum.orders.model import Order
from burdockdrum.orders.model import OrderOutcome
from burdockdrum.orders.model import PlannedOrder
from burdockdrum.orders.planner import plan_service
from burdockdrum.orders.ports import Leases
from burdockdrum.orders.reconciler import Reconciler
from burdockdrum.orders.sender import HttpOrderSender
from burdockdrum.orders.sender import OrderSender
from burdockdrum.orders.services import add_services

__all__ = [
    "add_services",
    "HttpOrderSender",
    "Leases",
    "Order",
    "OrderOutcome",
    "plan_service",
    "PlannedOrder",
    "Reconciler",
    "OrderSender",
    "WeightLoadLimiter",
]
