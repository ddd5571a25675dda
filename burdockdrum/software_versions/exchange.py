"""Lets a quorum of control VMs know each software version before its use.

Each control VM sends the versions of the endpoints that check in there to the
others, which store them before they reply. A version is established once a
quorum stores it, so that a reader that hears any majority learns of it, as in
the quorum registers of Attiya, Bar-Noy and Dolev (1995).
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib

from burdockdrum.logs import log_decision
from burdockdrum.logs import OutageLog
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.ports import DiskError
from burdockdrum.software_versions.memory import VersionMemory
from burdockdrum.software_versions.model import MEMORY_SECONDS
from burdockdrum.software_versions.model import ServiceVersion
from burdockdrum.software_versions.model import VersionReport

# While all control VMs have stored the report, it is repeated so often.
INTERVAL_SECONDS = 5.0
RETRY_SECONDS = 0.25
# Two round trips between regions and two disk syncs.
CALL_TIMEOUT_SECONDS = 0.4
# Until a disk counts as refusing; the caller still gets that reply.
_STORE_SECONDS = 0.3


class VersionNotice(Message, frozen=True, kw_only=True, array_like=True):
    """A control VM's own report, and what it knows beside it.

    ``others`` are the reports that it keeps, ``known`` all versions with the
    time since they were last seen.
    """

    own: VersionReport
    others: list[VersionReport]
    known: list[ServiceVersion]


class VersionReply(Message, frozen=True, kw_only=True, array_like=True):
    """The same of the receiver, and whether it stored the notice.

    ``is_complete`` says that the receiver has forgotten nothing it stored.
    """

    own: VersionReport
    others: list[VersionReport]
    known: list[ServiceVersion]
    is_stored: bool
    is_complete: bool


class VersionExchange:
    """Exchanges reports of software versions with the other control VMs."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        versions: VersionMemory,
        restored: asyncio.Event,
        flush: Callable[[], Awaitable[None]],
        read_voters: Callable[[], Mapping[str, str]],
        is_first_start: bool = False,
    ) -> None:
        """Register the message handler; ``run`` sends the reports.

        :param restored: set once the versions on disk are known
        :param flush: waits until the known versions are on disk, or raises
            ``DiskError``
        :param read_voters: returns the addresses of the voters of the
            replicated log by id; empty while they aren't known
        :param is_first_start: whether no control VM can have stored anything
        """
        self._peers = peers
        self._own_id = peers.identity.vm_id
        self._clock = clock
        self._versions = versions
        self._restored = restored
        self._flush = flush
        self._read_voters = read_voters
        self._is_first_start = is_first_start
        self._began_at = clock.monotonic()
        self._changed = asyncio.Event()
        self._unreached: frozenset[str] = frozenset()
        self._storing = OutageLog(
            failed="versions.not_stored",
            recovered="versions.stored",
            read_time=clock.monotonic,
        )
        versions.report_listeners.append(self._changed.set)
        peers.register(VersionNotice, self._receive)

    async def run(self) -> None:
        """Report own versions on changes and from time to time."""
        await self._restored.wait()
        if self._is_first_start:
            self._complete("no control VM has stored any version")
        while True:
            self._changed.clear()
            is_known_to_all = await self._exchange()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    INTERVAL_SECONDS if is_known_to_all else RETRY_SECONDS
                ):
                    await self._changed.wait()

    async def _exchange(self) -> bool:
        """Send the own report to all voters.

        :returns: whether all of them have stored it
        """
        voters = self._read_voters()
        if not voters:
            return False
        self._versions.retain_reporters(voters)
        others = {k: v for k, v in voters.items() if k != self._own_id}
        own = self._make_report()
        stored = {self._own_id} if await self._store() else set()
        quorum = len(voters) // 2 + 1
        complete: set[str] = set()
        heard: set[str] = set()
        self._establish(own, stored & voters.keys(), quorum)
        calls = [
            asyncio.create_task(self._report_to(vm_id, address, own))
            for vm_id, address in others.items()
        ]
        try:
            for call in asyncio.as_completed(calls):
                vm_id, reply = await call
                if reply is None:
                    continue
                heard.add(vm_id)
                if reply.is_stored:
                    stored.add(vm_id)
                if reply.is_complete:
                    complete.add(vm_id)
                self._establish(own, stored & voters.keys(), quorum)
        finally:
            for task in calls:
                task.cancel()
        self._log_unreached(others.keys() - heard)
        self._check_complete(
            others=len(others),
            heard=len(heard),
            complete=len(complete),
            needed=len(voters) - quorum + 1,
        )
        return stored >= voters.keys()

    def _check_complete(
        self, *, others: int, heard: int, complete: int, needed: int
    ) -> None:
        """Complete the memory if nothing that it lost is missing.

        Of a quorum that stored a version before this VM forgot it, ``needed``
        of the others have at least one. Without them, all of the others have
        to be heard, and what none of them knows has to be forgotten anyway.
        """
        if self._versions.is_complete:
            return
        age = self._clock.monotonic() - self._began_at
        if complete >= needed:
            self._complete(f"heard {complete} complete control VMs")
        elif heard == others and age >= MEMORY_SECONDS:
            self._complete(f"heard all {heard} others, up for {age:.0f} s")

    def _complete(self, reason: str) -> None:
        self._versions.complete()
        log_decision("versions.complete", reason=reason)

    def _establish(
        self, own: VersionReport, stored: set[str], quorum: int
    ) -> None:
        if len(stored) < quorum:
            return
        for version in self._versions.establish(own.versions):
            log_decision(
                "versions.established",
                service=version.service,
                software_version=version.software_version,
                stored_by=",".join(sorted(stored)),
            )

    async def _report_to(
        self, vm_id: str, address: str, own: VersionReport
    ) -> tuple[str, VersionReply | None]:
        notice = VersionNotice(
            own=own,
            others=self._versions.list_reports(),
            known=self._versions.list_known(),
        )
        try:
            reply = await self._peers.call(
                address, notice, VersionReply, timeout=CALL_TIMEOUT_SECONDS
            )
        except CallFailed:
            # Logged once for all VMs that aren't reached.
            return vm_id, None
        self._apply([reply.own, *reply.others], reply.known)
        return vm_id, reply

    async def _receive(
        self, sender: Sender, notice: VersionNotice
    ) -> VersionReply:
        self._apply([notice.own, *notice.others], notice.known)
        return VersionReply(
            is_stored=await self._store(),
            own=self._make_report(),
            others=self._versions.list_reports(),
            known=self._versions.list_known(),
            is_complete=self._versions.is_complete,
        )

    def _apply(
        self, reports: list[VersionReport], known: list[ServiceVersion]
    ) -> None:
        for report in reports:
            if report.vm_id != self._own_id:
                self._versions.apply_report(report)
        self._versions.add_known(known)

    def _make_report(self) -> VersionReport:
        return VersionReport(
            self._own_id,
            self._peers.identity.incarnation,
            self._versions.own_serial,
            self._versions.list_own(),
        )

    async def _store(self) -> bool:
        try:
            async with asyncio.timeout(_STORE_SECONDS):
                await self._flush()
        except DiskError as error:
            self._storing.fail(str(error))
            return False
        except TimeoutError:
            self._storing.fail(f"no reply within {_STORE_SECONDS:g} s")
            return False
        self._storing.succeed()
        return True

    def _log_unreached(self, unreached: set[str]) -> None:
        if unreached != self._unreached:
            self._unreached = frozenset(unreached)
            log_decision(
                "versions.unreached", control_vms=",".join(sorted(unreached))
            )
