"""Orders to endpoints: what is loaded where, under a fenced lease."""

from burdockdrum.orders.budget import WeightBudget
from burdockdrum.orders.model import Order
from burdockdrum.orders.model import OrderOutcome
from burdockdrum.orders.model import Planned
from burdockdrum.orders.planner import plan_service
from burdockdrum.orders.ports import Leases
from burdockdrum.orders.reconciler import Reconciler
from burdockdrum.orders.sender import HttpSender
from burdockdrum.orders.sender import Sender
from burdockdrum.orders.services import add_services

__all__ = [
    "add_services",
    "HttpSender",
    "Leases",
    "Order",
    "OrderOutcome",
    "plan_service",
    "Planned",
    "Reconciler",
    "Sender",
    "WeightBudget",
]
