"""Admission control: quotas, priorities, queues and deadlines."""

from burdockdrum.admission.admission import AdmissionControl
from burdockdrum.admission.admission import Permit
from burdockdrum.admission.quotas import QuotaEnforcer
from burdockdrum.admission.quotas import QuotaReservation
from burdockdrum.admission.services import add_services

__all__ = [
    "add_services",
    "AdmissionControl",
    "Permit",
    "QuotaReservation",
    "QuotaEnforcer",
]
