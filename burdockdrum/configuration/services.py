"""Name the services of this package."""

from burdockdrum.configuration.service import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.resources import ResourceStore
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline


def add_services(kernel: Kernel) -> None:
    """Name the configuration in force."""
    kernel.add("configuration", _build_configuration)


def _build_configuration(kernel: Kernel) -> ConfigurationService:
    settings = kernel.find("settings", Settings)
    is_member = settings.vm.id in settings.control.members
    return ConfigurationService(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        store=ResourceStore() if is_member else None,
        control_addresses=list(settings.control.members.values()),
    )
