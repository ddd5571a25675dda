"""Requests under which endpoints crashed, as all VMs know them."""

from burdockdrum.crashes.exchange import CrashExchange
from burdockdrum.crashes.exchange import SHARE_DELAY_SECONDS
from burdockdrum.crashes.ledger import Assessment
from burdockdrum.crashes.ledger import CrashLedger
from burdockdrum.crashes.ledger import MAX_CRASHES
from burdockdrum.crashes.ledger import MAX_RECORDS
from burdockdrum.crashes.ledger import Standing
from burdockdrum.crashes.records import CrashRecord
from burdockdrum.crashes.services import add_services

__all__ = [
    "add_services",
    "Assessment",
    "CrashExchange",
    "CrashLedger",
    "CrashRecord",
    "MAX_CRASHES",
    "MAX_RECORDS",
    "SHARE_DELAY_SECONDS",
    "Standing",
]
