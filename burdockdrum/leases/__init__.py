"""Leases with fencing numbers, replicated by the control VMs."""

from burdockdrum.leases.keeper import LeaseKeeper
from burdockdrum.leases.keeper import ProposalFailed
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
from burdockdrum.leases.timing import LEASE_SECONDS
from burdockdrum.leases.timing import MAX_CLOCK_DRIFT
from burdockdrum.leases.timing import ORDER_SECONDS
from burdockdrum.leases.timing import RENEW_SECONDS
from burdockdrum.leases.timing import SUPERSEDE_SECONDS
from burdockdrum.leases.timing import WAIT_OUT_SECONDS

__all__ = [
    "add_services",
    "Grant",
    "GrantLease",
    "Lease",
    "LEASE_SECONDS",
    "LeaseCommand",
    "LeaseKeeper",
    "LeaseNotHeld",
    "LeaseResult",
    "LeaseService",
    "LeaseTable",
    "LeaseTableSnapshot",
    "LeaseUnavailable",
    "MAX_CLOCK_DRIFT",
    "ProposalFailed",
    "OpenEpoch",
    "ORDER_SECONDS",
    "ReleaseLease",
    "RENEW_SECONDS",
    "SUPERSEDE_SECONDS",
    "WAIT_OUT_SECONDS",
]
