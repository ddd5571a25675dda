"""Detection and quarantine of requests that crash endpoints."""

from burdockdrum.quarantine.messages import QuarantineEntry
from burdockdrum.quarantine.quarantine import MAX_LOSSES
from burdockdrum.quarantine.quarantine import Quarantine
from burdockdrum.quarantine.quarantine import QUARANTINE_DURATION_SECONDS
from burdockdrum.quarantine.quarantine import SUSPICION_DURATION_SECONDS
from burdockdrum.quarantine.services import add_services
from burdockdrum.quarantine.trials import Trial

__all__ = [
    "add_services",
    "MAX_LOSSES",
    "Quarantine",
    "QUARANTINE_DURATION_SECONDS",
    "QuarantineEntry",
    "SUSPICION_DURATION_SECONDS",
    "Trial",
]
