"""Membership: live VMs, their endpoints and free capacity elsewhere."""

from burdockdrum.vms.aggregators import AggregatorSelector
from burdockdrum.vms.aggregators import RemoteAggregators
from burdockdrum.vms.directory import DataCentreView
from burdockdrum.vms.directory import VmDirectory
from burdockdrum.vms.directory import VmView
from burdockdrum.vms.drain import Drain
from burdockdrum.vms.drain import DrainState
from burdockdrum.vms.endpoint_sharing import EndpointSharing
from burdockdrum.vms.messages import ServiceSummary
from burdockdrum.vms.remote import choose_by_hash
from burdockdrum.vms.remote import ENTRIES_PER_SUMMARY
from burdockdrum.vms.selection import ENTRY_LIST_VALID_SECONDS
from burdockdrum.vms.selection import EntryChoice
from burdockdrum.vms.selection import EntryList
from burdockdrum.vms.selection import select_entries
from burdockdrum.vms.services import add_services
from burdockdrum.vms.summaries import CapacitySummaries

__all__ = [
    "add_services",
    "AggregatorSelector",
    "CapacitySummaries",
    "choose_by_hash",
    "DataCentreView",
    "Drain",
    "DrainState",
    "EndpointSharing",
    "ENTRIES_PER_SUMMARY",
    "ENTRY_LIST_VALID_SECONDS",
    "EntryChoice",
    "EntryList",
    "RemoteAggregators",
    "select_entries",
    "ServiceSummary",
    "VmDirectory",
    "VmView",
]
