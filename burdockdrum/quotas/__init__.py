"""Rate limits of teams, enforced over the entries of all regions."""

from burdockdrum.quotas.decaying import DecayingSum
from burdockdrum.quotas.meter import Charge
from burdockdrum.quotas.meter import QuotaMeter
from burdockdrum.quotas.services import add_services
from burdockdrum.quotas.sharing import UsageSharing

__all__ = [
    "add_services",
    "Charge",
    "DecayingSum",
    "QuotaMeter",
    "UsageSharing",
]
