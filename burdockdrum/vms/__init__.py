"""Membership: live VMs, their endpoints and free capacity elsewhere."""

from burdockdrum.vms.directory import DataCentreView
from burdockdrum.vms.directory import VmDirectory
from burdockdrum.vms.directory import VmView
from burdockdrum.vms.drain import Drain
from burdockdrum.vms.drain import DrainState
from burdockdrum.vms.endpoint_sharing import EndpointSharing
from burdockdrum.vms.keepers import FarKeepers
from burdockdrum.vms.keepers import KeeperChoice
from burdockdrum.vms.messages import ServiceSummary
from burdockdrum.vms.remote import choose_by_hash
from burdockdrum.vms.selection import EntryChoice
from burdockdrum.vms.selection import EntryList
from burdockdrum.vms.selection import select_entries
from burdockdrum.vms.selection import VALID_SECONDS
from burdockdrum.vms.services import add_services
from burdockdrum.vms.summaries import Summaries

__all__ = [
    "add_services",
    "choose_by_hash",
    "DataCentreView",
    "Drain",
    "DrainState",
    "EndpointSharing",
    "EntryChoice",
    "EntryList",
    "FarKeepers",
    "KeeperChoice",
    "select_entries",
    "ServiceSummary",
    "Summaries",
    "VALID_SECONDS",
    "VmDirectory",
    "VmView",
]
