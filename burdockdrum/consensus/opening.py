"""Opens the data folder of one member, however long its disk refuses it."""

import random

from burdockdrum.consensus.identity import IdentityFile
from burdockdrum.consensus.interface import LogSettings
from burdockdrum.consensus.replica import Replica
from burdockdrum.consensus.snapshot import SnapshotStore
from burdockdrum.consensus.storage import RETRY_SECONDS
from burdockdrum.consensus.storage import Storage
from burdockdrum.logs import OutageLog
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import DiskError
from burdockdrum.timeline import Timeline


class Opening:
    """Opens the data folder at the start of a process.

    Until it is open, the process serves what needs no log.
    """

    def __init__(
        self,
        *,
        disk: Disk,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        settings: LogSettings,
    ) -> None:
        """Create it; ``run`` opens the folder."""
        self._disk = disk
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._settings = settings
        self._outage = OutageLog(
            failed="log.not_opened",
            recovered="log.opened",
            read_time=clock.monotonic,
        )

    @property
    def refusal(self) -> str | None:
        """Return why the disk refused the last attempt, None if not."""
        return self._outage.reason

    async def run(self) -> Replica:
        """Open the folder, and return the state of the member.

        Each attempt reads everything anew, as after a restart.

        :raises CorruptLog: if the folder is damaged: only an operator can
            decide what to do about that
        """
        while True:
            try:
                replica = await self._try_open()
            except DiskError as error:
                if self._outage.fail(str(error)):
                    self._timeline.record(
                        "log.disk_refuses", reason=str(error)
                    )
                await self._clock.sleep(RETRY_SECONDS)
                continue
            self._outage.succeed()
            return replica

    async def _try_open(self) -> Replica:
        identity = await IdentityFile.open(
            disk=self._disk, vm_id=self._settings.vm_id, rng=self._rng
        )
        snapshots = SnapshotStore(disk=self._disk)
        snapshot = await snapshots.load()
        storage = Storage(
            disk=self._disk,
            disk_id=identity.current.disk_id,
            segment_bytes=self._settings.segment_bytes,
            clock=self._clock,
        )
        await storage.open(
            snapshot, rewrites=(identity.rewrite, snapshots.rewrite)
        )
        if storage.torn_bytes:
            self._timeline.record("log.tail_cut", size=storage.torn_bytes)
        return Replica(
            identity=identity,
            storage=storage,
            snapshots=snapshots,
            settings=self._settings,
            clock=self._clock,
            rng=self._rng,
            timeline=self._timeline,
        )
