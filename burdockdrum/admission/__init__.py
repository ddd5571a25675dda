"""Admission control: quotas, priorities, queues and deadlines."""

from burdockdrum.admission.admission import Admission
from burdockdrum.admission.admission import Permit
from burdockdrum.admission.quotas import QuotaEnforcer
from burdockdrum.admission.quotas import QuotaReservation
from burdockdrum.admission.services import add_services

__all__ = [
    "add_services",
    "Admission",
    "Permit",
    "QuotaReservation",
    "QuotaEnforcer",
]
