"""The configuration in force on this VM, and changes to it."""

from burdockdrum.configuration.service import ChangeUnknown
from burdockdrum.configuration.service import ConfigurationService
from burdockdrum.configuration.services import add_services

__all__ = ["add_services", "ChangeUnknown", "ConfigurationService"]
