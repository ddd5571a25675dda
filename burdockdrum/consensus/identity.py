"""Who the data folder belongs to, and which cluster was founded with it."""

import random

import msgspec

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import decode_frame
from burdockdrum.consensus.records import encode_frame
from burdockdrum.consensus.records import FORMAT_VERSION
from burdockdrum.ports import Disk

_NAME = "identity"
_TEMPORARY = "identity.tmp"
_DISK_ID_BITS = 96


class FolderIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """What the file ``identity`` holds.

    ``disk_id`` is drawn when the folder is first used, so a VM that returns
    with an emptied disk is told from the member that it was. ``founding`` is
    promised to the other founders; ``formed`` says that all have promised,
    or that a leader has taken this VM in.
    """

    format: int
    vm_id: str
    disk_id: str
    founding: Configuration | None = None
    formed: bool = False
    cluster_id: str = ""


class IdentityFile:
    """The identity in the data folder."""

    def __init__(self, *, disk: Disk, identity: FolderIdentity) -> None:
        """Create it over a folder that was read or begun."""
        self._disk = disk
        self.current = identity

    @classmethod
    async def open(
        cls, *, disk: Disk, vm_id: str, rng: random.Random
    ) -> "IdentityFile":
        """Read the identity, or draw one for an empty folder.

        :raises CorruptLog: if the folder is another VM's, of another format
            or has lost its identity
        """
        content = await disk.read(_NAME)
        if content is None:
            return await cls._begin(disk, vm_id, rng)
        frame = decode_frame(content, 0)
        if frame is None:
            raise CorruptLog(f"{_NAME} is damaged")
        identity = msgspec.msgpack.decode(frame[0], type=FolderIdentity)
        if identity.format != FORMAT_VERSION:
            raise CorruptLog(
                f"the data folder has format {identity.format}, this program "
                f"reads {FORMAT_VERSION}"
            )
        if identity.vm_id != vm_id:
            raise CorruptLog(
                f"the data folder belongs to VM {identity.vm_id!r}, "
                f"this is {vm_id!r}"
            )
        return cls(disk=disk, identity=identity)

    @classmethod
    async def _begin(
        cls, disk: Disk, vm_id: str, rng: random.Random
    ) -> "IdentityFile":
        names = await disk.list()
        left = [name for name in names if name.startswith(("log-", "snap"))]
        if left:
            raise CorruptLog(f"{_NAME} is missing, but {left[0]} is there")
        identity = FolderIdentity(
            format=FORMAT_VERSION,
            vm_id=vm_id,
            disk_id=f"{rng.getrandbits(_DISK_ID_BITS):024x}",
        )
        file = cls(disk=disk, identity=identity)
        await file.save(identity)
        return file

    async def save(self, identity: FolderIdentity) -> None:
        """Make an identity last.

        :raises DiskError: if it may not have lasted
        """
        frame = encode_frame(msgspec.msgpack.encode(identity))
        await self._disk.write(_TEMPORARY, frame)
        await self._disk.sync(_TEMPORARY)
        await self._disk.rename(_TEMPORARY, _NAME)
        await self._disk.sync_folder()
        self.current = identity
