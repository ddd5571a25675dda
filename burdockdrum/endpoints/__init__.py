"""The endpoints that announced themselves to this data centre."""

from burdockdrum.endpoints.announcements import Announcement
from burdockdrum.endpoints.announcements import LeaseGrant
from burdockdrum.endpoints.announcements import Report
from burdockdrum.endpoints.registry import Endpoint
from burdockdrum.endpoints.registry import EndpointRegistry
from burdockdrum.endpoints.services import add_services

__all__ = [
    "add_services",
    "Announcement",
    "Endpoint",
    "EndpointRegistry",
    "LeaseGrant",
    "Report",
]
