"""Name the services of this package."""

from burdockdrum.admission.admission import Admission
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.ports import Clock
from burdockdrum.routing import Router
from burdockdrum.settings import Settings


def add_services(kernel: Kernel) -> None:
    """Name the admission."""
    kernel.add("admission", _build_admission)


def _build_admission(kernel: Kernel) -> Admission:
    return Admission(
        clock=kernel.find("clock", Clock),
        configuration=kernel.find("configuration", ConfigurationService),
        router=kernel.find("router", Router),
        policy=kernel.find("settings", Settings).policy,
    )
