"""Leases with fencing numbers, replicated by the control VMs."""

from burdockdrum.leases.manager import LeaseManager
from burdockdrum.leases.manager import ProposalFailed
from burdockdrum.leases.service import Lease
from burdockdrum.leases.service import LeaseNotHeld
from burdockdrum.leases.service import LeaseService
from burdockdrum.leases.service import LeaseUnavailable
from burdockdrum.leases.services import add_services
from burdockdrum.leases.table import Grant
from burdockdrum.leases.table import GrantLease
from burdockdrum.leases.table import LeaseCommand
from burdockdrum.leases.table import LeaseResult
from burdockdrum.leases.table import LeaseTable
from burdockdrum.leases.table import LeaseTableSnapshot
from burdockdrum.leases.table import OpenEpoch
from burdockdrum.leases.table import ReleaseLease
from burdockdrum.leases.timing import FORMER_ORDERS_DELAY_SECONDS
from burdockdrum.leases.timing import LEASE_DURATION_SECONDS
from burdockdrum.leases.timing import MAX_CLOCK_DRIFT
from burdockdrum.leases.timing import ORDER_TIMEOUT_SECONDS
from burdockdrum.leases.timing import RENEW_INTERVAL_SECONDS
from burdockdrum.leases.timing import SUPERSEDE_DELAY_SECONDS

__all__ = [
    "add_services",
    "FORMER_ORDERS_DELAY_SECONDS",
    "Grant",
    "GrantLease",
    "Lease",
    "LEASE_DURATION_SECONDS",
    "LeaseCommand",
    "LeaseManager",
    "LeaseNotHeld",
    "LeaseResult",
    "LeaseService",
    "LeaseTable",
    "LeaseTableSnapshot",
    "LeaseUnavailable",
    "MAX_CLOCK_DRIFT",
    "ProposalFailed",
    "OpenEpoch",
    "ORDER_TIMEOUT_SECONDS",
    "ReleaseLease",
    "RENEW_INTERVAL_SECONDS",
    "SUPERSEDE_DELAY_SECONDS",
]
