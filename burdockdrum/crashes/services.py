"""Registers the services of this package in the kernel."""

from burdockdrum.crashes.ledger import CrashLedger
from burdockdrum.kernel import Kernel
from burdockdrum.ports import Clock


def add_services(kernel: Kernel) -> None:
    """Register the ledger of crashes."""
    kernel.add(
        "crash_ledger",
        lambda kernel: CrashLedger(clock=kernel.find("clock", Clock)),
    )
