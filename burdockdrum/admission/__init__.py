"""Which requests are accepted: quotas, priorities, queues, deadlines."""

from burdockdrum.admission.admission import Admission
from burdockdrum.admission.admission import Permit
from burdockdrum.admission.quotas import QuotaHold
from burdockdrum.admission.quotas import QuotaLedger
from burdockdrum.admission.services import add_services

__all__ = [
    "add_services",
    "Admission",
    "Permit",
    "QuotaHold",
    "QuotaLedger",
]
