"""Settings in TOML, validated before a process starts.

Each problem names the key and a way to fix it.
"""

from burdockdrum.settings.checks import check_settings
from burdockdrum.settings.loader import load_policy
from burdockdrum.settings.loader import load_settings
from burdockdrum.settings.loader import read_settings
from burdockdrum.settings.loader import SettingsError
from burdockdrum.settings.model import ControlSettings
from burdockdrum.settings.model import MechanismSettings
from burdockdrum.settings.model import PolicySettings
from burdockdrum.settings.model import Settings
from burdockdrum.settings.problems import SettingsProblem

__all__ = [
    "check_settings",
    "ControlSettings",
    "load_policy",
    "load_settings",
    "MechanismSettings",
    "read_settings",
    "PolicySettings",
    "Settings",
    "SettingsError",
    "SettingsProblem",
]
