"""Stand-ins for what the gateway serves: engines and plain services.

They speak the same HTTP as the real ones, over a core that also runs in
memory under virtual time.
"""

from burdockdrum.emulator.engine import EmulatedEngine
from burdockdrum.emulator.engine import EngineSettings
from burdockdrum.emulator.plain import PlainService

__all__ = ["EmulatedEngine", "EngineSettings", "PlainService"]
