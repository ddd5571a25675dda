"""Distribution of the configuration to all VMs, and changes to it."""

from burdockdrum.configuration.control import propose_lease_command
from burdockdrum.configuration.control_state import ControlState
from burdockdrum.configuration.evacuations import EvacuationOrder
from burdockdrum.configuration.history import RevisionGone
from burdockdrum.configuration.service import ChangeNotAccepted
from burdockdrum.configuration.service import ChangeOutcomeUnknown
from burdockdrum.configuration.service import ConfigurationService
from burdockdrum.configuration.services import add_services

__all__ = [
    "add_services",
    "ChangeNotAccepted",
    "ChangeOutcomeUnknown",
    "ConfigurationService",
    "ControlState",
    "EvacuationOrder",
    "propose_lease_command",
    "RevisionGone",
]
