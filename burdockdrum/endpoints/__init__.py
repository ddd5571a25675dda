"""The registry of the endpoints of this data centre.

Endpoints announce themselves to an entry VM and renew a lease with each load
report. Entry VMs exchange copies of what they know.
"""

from burdockdrum.endpoints.announcements import Announcement
from burdockdrum.endpoints.announcements import CacheEvent
from burdockdrum.endpoints.announcements import LeaseGrant
from burdockdrum.endpoints.announcements import Report
from burdockdrum.endpoints.model import Endpoint
from burdockdrum.endpoints.prefix_cache import MAX_PREFIXES_PER_ENDPOINT
from burdockdrum.endpoints.prefix_cache import PrefixCache
from burdockdrum.endpoints.registry import COPY_LEASE_SECONDS
from burdockdrum.endpoints.registry import EndpointRegistry
from burdockdrum.endpoints.registry import LEASE_SECONDS
from burdockdrum.endpoints.registry import REPORT_INTERVAL_SECONDS
from burdockdrum.endpoints.registry import SLOW_REPORT_MIN_ENDPOINTS
from burdockdrum.endpoints.services import add_services

__all__ = [
    "add_services",
    "Announcement",
    "CacheEvent",
    "COPY_LEASE_SECONDS",
    "Endpoint",
    "EndpointRegistry",
    "LEASE_SECONDS",
    "LeaseGrant",
    "MAX_PREFIXES_PER_ENDPOINT",
    "PrefixCache",
    "Report",
    "REPORT_INTERVAL_SECONDS",
    "SLOW_REPORT_MIN_ENDPOINTS",
]
