"""Stand-ins for what the gateway serves: engines and plain services.

They speak the same HTTP as the real ones, over a core that also runs in
memory under virtual time.
"""

from burdockdrum.emulator.announcer import Announcer
from burdockdrum.emulator.application import build_engine_application
from burdockdrum.emulator.application import build_plain_application
from burdockdrum.emulator.engine import EmulatedEngine
from burdockdrum.emulator.engine import EngineSettings
from burdockdrum.emulator.engine import make_answer
from burdockdrum.emulator.engine import make_token
from burdockdrum.emulator.plain import PlainService

__all__ = [
    "Announcer",
    "build_engine_application",
    "build_plain_application",
    "EmulatedEngine",
    "EngineSettings",
    "make_answer",
    "make_token",
    "PlainService",
]
