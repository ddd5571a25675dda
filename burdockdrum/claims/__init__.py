"""Claims on idempotency keys, by which a request runs at most once."""

from burdockdrum.claims.claims import Claim
from burdockdrum.claims.claims import ClaimService
from burdockdrum.claims.coordinator import StoredAnswer
from burdockdrum.claims.replica import RETENTION_SECONDS
from burdockdrum.claims.services import add_services

__all__ = [
    "add_services",
    "Claim",
    "ClaimService",
    "RETENTION_SECONDS",
    "StoredAnswer",
]
