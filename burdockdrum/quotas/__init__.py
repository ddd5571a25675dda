"""Rate limits of teams, enforced over the entries of all regions."""

from burdockdrum.quotas.meter import QuotaMeter
from burdockdrum.quotas.meter import Taken
from burdockdrum.quotas.services import add_services
from burdockdrum.quotas.sharing import UseSharing

__all__ = ["add_services", "QuotaMeter", "Taken", "UseSharing"]
