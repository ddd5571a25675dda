"""Distribution of the configuration to all VMs, and changes to it."""

from burdockdrum.configuration.control import propose_lease
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.history import RevisionGone
from burdockdrum.configuration.service import ChangeNotAccepted
from burdockdrum.configuration.service import ChangeUnknown
from burdockdrum.configuration.service import ConfigurationService
from burdockdrum.configuration.services import add_services

__all__ = [
    "add_services",
    "ChangeNotAccepted",
    "ChangeUnknown",
    "ConfigurationService",
    "ControlState",
    "propose_lease",
    "RevisionGone",
]
