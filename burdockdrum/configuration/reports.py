"""Which revision is in force where: one report a data centre.

A relay knows what its data centre's VMs have acknowledged; only its summary
goes to a control VM. The control VMs each hold the reports of the relays
that follow them.
"""

from dataclasses import dataclass
from typing import Protocol
import zlib

from burdockdrum.configuration.messages import AgedReport
from burdockdrum.configuration.messages import Report
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock

# What a data centre last reported stays for longer than the hour for which
# regions may lose each other.
KEEP_SECONDS = 7200.0


class VmSighting(Protocol):
    """What is asked of a VM that the directory knows."""

    @property
    def identity(self) -> VmIdentity:
        """Return who it is."""
        ...


class Directory(Protocol):
    """What is asked of the directory of VMs."""

    @property
    def draining(self) -> bool:
        """Say whether this VM is on its way out."""
        ...

    def live_vms(self) -> list:
        """Return the VMs heard of lately."""
        ...

    def vms_in(self, data_centre: str) -> list:
        """Return the live VMs of a data centre."""
        ...

    def relay_of(self, data_centre: str) -> VmSighting | None:
        """Return the VM that passes messages on for a data centre."""
        ...


@dataclass(frozen=True, kw_only=True)
class _Held:
    report: Report
    taken_at: float


class Reports:
    """The acknowledgements of VMs and the reports of data centres."""

    def __init__(self, *, clock: Clock, identity: VmIdentity) -> None:
        """Hold nothing."""
        self._clock = clock
        self._identity = identity
        self._revisions_by_vm_id: dict[str, int] = {}
        self._held_by_data_centre: dict[str, _Held] = {}
        self._vm_ids_by_data_centre: dict[str, list[str]] = {}

    def take_acknowledgement(self, vm_id: str, revision: int) -> None:
        """Note which revision a VM has in force."""
        self._revisions_by_vm_id[vm_id] = revision

    def make_report(self, directory: Directory, revision: int) -> Report:
        """Sum up this data centre, as its relay.

        A VM that lives but has acknowledged nothing yet counts as behind.
        """
        own = self._identity
        views = directory.vms_in(own.data_centre)
        vm_ids = sorted(view.identity.vm_id for view in views)
        revisions_by_vm_id = {
            vm_id: self._revisions_by_vm_id.get(vm_id, 0) for vm_id in vm_ids
        }
        revisions_by_vm_id[own.vm_id] = revision
        self._revisions_by_vm_id = dict(revisions_by_vm_id)
        behind = {
            vm_id: number
            for vm_id, number in revisions_by_vm_id.items()
            if number < revision
        }
        return Report(
            data_centre=own.data_centre,
            revision=revision,
            behind=behind,
            vm_ids_digest=_digest(vm_ids),
            vm_ids=vm_ids,
        )

    def take_report(self, report: Report) -> None:
        """Hold a data centre's report in place of the one before."""
        if report.vm_ids is not None:
            self._vm_ids_by_data_centre[report.data_centre] = report.vm_ids
        held = _Held(report=report, taken_at=self._clock.monotonic())
        self._held_by_data_centre[report.data_centre] = held

    def vm_ids_digest(self, data_centre: str) -> int:
        """Return the digest of the VM ids known of one; 0 if none are."""
        vm_ids = self._vm_ids_by_data_centre.get(data_centre)
        return _digest(vm_ids) if vm_ids is not None else 0

    def aged_reports(self) -> list[AgedReport]:
        """Return the reports held that name their VMs."""
        now = self._clock.monotonic()
        reports = []
        for data_centre, held in list(self._held_by_data_centre.items()):
            if now - held.taken_at > KEEP_SECONDS:
                del self._held_by_data_centre[data_centre]
                continue
            vm_ids = self._vm_ids_by_data_centre.get(data_centre)
            if vm_ids is None or _digest(vm_ids) != held.report.vm_ids_digest:
                continue
            report = Report(
                data_centre=data_centre,
                revision=held.report.revision,
                behind=held.report.behind,
                vm_ids_digest=held.report.vm_ids_digest,
                vm_ids=vm_ids,
            )
            reports.append(AgedReport(report=report, age=now - held.taken_at))
        return reports


def expand(reports: list[AgedReport]) -> dict[str, int]:
    """Return the revision in force by VM id, from the newest reports."""
    newest_by_data_centre: dict[str, AgedReport] = {}
    for aged in reports:
        known = newest_by_data_centre.get(aged.report.data_centre)
        if known is None or aged.age < known.age:
            newest_by_data_centre[aged.report.data_centre] = aged
    revisions_by_vm_id = {}
    for aged in newest_by_data_centre.values():
        report = aged.report
        for vm_id in report.vm_ids or []:
            number = report.behind.get(vm_id, report.revision)
            revisions_by_vm_id[vm_id] = number
    return revisions_by_vm_id


def _digest(vm_ids: list[str]) -> int:
    return zlib.crc32("\n".join(vm_ids).encode())
