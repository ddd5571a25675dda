"""Requests and prompt parts under which endpoints crashed.

All VMs know them.
"""

from burdockdrum.crashes.assessments import Assessment
from burdockdrum.crashes.assessments import Standing
from burdockdrum.crashes.exchange import CrashExchange
from burdockdrum.crashes.exchange import SHARE_DELAY_SECONDS
from burdockdrum.crashes.ledger import CrashLedger
from burdockdrum.crashes.ledger import MAX_RECORDS
from burdockdrum.crashes.ledger import PART_CRASH_INTERVAL_SECONDS
from burdockdrum.crashes.ledger import SOUND_SECONDS
from burdockdrum.crashes.records import CrashRecord
from burdockdrum.crashes.records import is_part
from burdockdrum.crashes.records import PART_PREFIX
from burdockdrum.crashes.services import add_services
from burdockdrum.crashes.sound_runs import MAX_SOUND_RUNS
from burdockdrum.crashes.sound_runs import SoundRuns
from burdockdrum.crashes.verdicts import MAX_CRASHES

__all__ = [
    "add_services",
    "Assessment",
    "CrashExchange",
    "CrashLedger",
    "CrashRecord",
    "is_part",
    "MAX_CRASHES",
    "MAX_RECORDS",
    "MAX_SOUND_RUNS",
    "PART_CRASH_INTERVAL_SECONDS",
    "PART_PREFIX",
    "SHARE_DELAY_SECONDS",
    "SOUND_SECONDS",
    "SoundRuns",
    "Standing",
]
