"""The configuration in force on this VM, and changes to it."""

from burdockdrum.configuration.service import ChangeUnknown
from burdockdrum.configuration.service import ConfigurationService

__all__ = ["ChangeUnknown", "ConfigurationService"]
