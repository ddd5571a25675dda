"""Registers the services of this package."""

from burdockdrum.callers.finding import CallerFinder
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.settings import Settings


def add_services(kernel: Kernel) -> None:
    """Register the finder of callers."""
    kernel.add("callers", _build_finder)


def _build_finder(kernel: Kernel) -> CallerFinder:
    settings = kernel.find("settings", Settings).callers
    return CallerFinder(
        configuration=kernel.find("configuration", ConfigurationService),
        certain_seconds=settings.certain_seconds,
        strict_seconds=settings.strict_seconds,
    )
