"""Keep a request that crashes endpoints from crashing them all."""

from burdockdrum.quarantine.messages import QuarantineEntry
from burdockdrum.quarantine.quarantine import MAX_LOSSES
from burdockdrum.quarantine.quarantine import Quarantine
from burdockdrum.quarantine.quarantine import QUARANTINE_SECONDS
from burdockdrum.quarantine.quarantine import SUSPECT_SECONDS
from burdockdrum.quarantine.services import add_services
from burdockdrum.quarantine.trials import Trial

__all__ = [
    "add_services",
    "MAX_LOSSES",
    "Quarantine",
    "QUARANTINE_SECONDS",
    "QuarantineEntry",
    "SUSPECT_SECONDS",
    "Trial",
]
