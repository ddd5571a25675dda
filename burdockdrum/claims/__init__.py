"""Claims on idempotency keys, by which a request runs at most once."""

from burdockdrum.claims.claims import Claim
from burdockdrum.claims.claims import Claims
from burdockdrum.claims.coordinator import StoredAnswer
from burdockdrum.claims.keeper import RETENTION_SECONDS
from burdockdrum.claims.services import add_services

__all__ = [
    "add_services",
    "Claim",
    "Claims",
    "RETENTION_SECONDS",
    "StoredAnswer",
]
