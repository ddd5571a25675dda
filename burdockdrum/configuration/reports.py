"""Reports of the revisions in force, one per data centre.

A relay aggregates the acknowledgements of its data centre's VMs and sends a
report to the control VM that it follows, which stores it.
"""

from dataclasses import dataclass
from typing import Protocol
import zlib

from burdockdrum.configuration.messages import AgedReport
from burdockdrum.configuration.messages import Report
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock

# Longer than the hour for which regions may be partitioned.
REPORT_TTL_SECONDS = 7200.0


class VmRecord(Protocol):
    """A VM in the directory."""

    @property
    def identity(self) -> VmIdentity:
        """Return its identity."""
        ...


class Directory(Protocol):
    """Interface to the directory of VMs."""

    @property
    def draining(self) -> bool:
        """Return whether this VM is draining."""
        ...

    def live_vms(self) -> list:
        """Return all live VMs."""
        ...

    def vms_in(self, data_centre: str) -> list:
        """Return the live VMs of a data centre."""
        ...

    def relay_of(self, data_centre: str) -> VmRecord | None:
        """Return the VM that relays messages for a data centre."""
        ...


@dataclass(frozen=True, kw_only=True)
class _StoredReport:
    report: Report
    received_at: float


class Reports:
    """Acknowledgements of VMs and reports of data centres."""

    def __init__(self, *, clock: Clock, identity: VmIdentity) -> None:
        """Create an empty collection."""
        self._clock = clock
        self._identity = identity
        self._revisions_by_vm_id: dict[str, int] = {}
        self._reports_by_data_centre: dict[str, _StoredReport] = {}
        self._vm_ids_by_data_centre: dict[str, list[str]] = {}

    def record_acknowledgement(self, vm_id: str, revision: int) -> None:
        """Record the revision in force on a VM."""
        self._revisions_by_vm_id[vm_id] = revision

    def make_report(self, directory: Directory, revision: int) -> Report:
        """Return the report of this data centre, as its relay.

        Live VMs that have not acknowledged any revision count as behind.
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

    def record_report(self, report: Report) -> None:
        """Store the newest report of a data centre."""
        if report.vm_ids is not None:
            self._vm_ids_by_data_centre[report.data_centre] = report.vm_ids
        stored = _StoredReport(
            report=report, received_at=self._clock.monotonic()
        )
        self._reports_by_data_centre[report.data_centre] = stored

    def vm_ids_digest(self, data_centre: str) -> int:
        """Return the checksum of the known VM ids of a data centre, or 0."""
        vm_ids = self._vm_ids_by_data_centre.get(data_centre)
        return _digest(vm_ids) if vm_ids is not None else 0

    def aged_reports(self) -> list[AgedReport]:
        """Return the stored reports whose VM ids are known."""
        now = self._clock.monotonic()
        reports = []
        for data_centre, stored in list(self._reports_by_data_centre.items()):
            if now - stored.received_at > REPORT_TTL_SECONDS:
                del self._reports_by_data_centre[data_centre]
                continue
            vm_ids = self._vm_ids_by_data_centre.get(data_centre)
            if (
                vm_ids is None
                or _digest(vm_ids) != stored.report.vm_ids_digest
            ):
                continue
            report = Report(
                data_centre=data_centre,
                revision=stored.report.revision,
                behind=stored.report.behind,
                vm_ids_digest=stored.report.vm_ids_digest,
                vm_ids=vm_ids,
            )
            reports.append(
                AgedReport(report=report, age=now - stored.received_at)
            )
        return reports


def merge_reports(reports: list[AgedReport]) -> dict[str, int]:
    """Merge the newest report of each data centre into revisions by VM id."""
    newest_by_data_centre: dict[str, AgedReport] = {}
    for aged in reports:
        newest = newest_by_data_centre.get(aged.report.data_centre)
        if newest is None or aged.age < newest.age:
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
