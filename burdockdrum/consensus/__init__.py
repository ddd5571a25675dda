"""A Raft log replicated among the control VMs and stored on their disks."""

from burdockdrum.consensus.interface import Applied
from burdockdrum.consensus.interface import LogError
from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.interface import NotAccepted
from burdockdrum.consensus.interface import NotCurrent
from burdockdrum.consensus.interface import OutcomeUnknown
from burdockdrum.consensus.interface import Role
from burdockdrum.consensus.interface import StateMachine
from burdockdrum.consensus.log import ReplicatedLog
from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.records import CorruptLog

__all__ = [
    "Applied",
    "Configuration",
    "CorruptLog",
    "LogError",
    "LogSettings",
    "Member",
    "NotAccepted",
    "NotCurrent",
    "OutcomeUnknown",
    "ReplicatedLog",
    "Role",
    "StateMachine",
]
