"""The identity of the data folder: its VM, its disk id and its cluster."""

import random

import msgspec

from burdockdrum.consensus.membership import Configuration
from burdockdrum.consensus.records import CorruptLog
from burdockdrum.consensus.records import decode_frame
from burdockdrum.consensus.records import encode_frame
from burdockdrum.consensus.records import FORMAT_VERSION
from burdockdrum.ports import Disk
from burdockdrum.ports import replace_file

_FILE_NAME = "identity"
_TEMPORARY_FILE_NAME = "identity.tmp"
_DISK_ID_BITS = 96


class FolderIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the file ``identity``.

    ``disk_id`` is drawn when the folder is first used, which distinguishes a
    VM that returns with an empty disk from the former member. ``founding``
    is the first configuration that this founder has accepted; ``formed``
    says that all founders have, or that a leader has added this VM.
    """

    format: int
    vm_id: str
    disk_id: str
    founding: Configuration | None = None
    formed: bool = False
    cluster_id: str = ""


class IdentityFile:
    """Reads and writes the identity of a data folder."""

    def __init__(self, *, disk: Disk, identity: FolderIdentity) -> None:
        """Create it with the identity that was read or drawn."""
        self._disk = disk
        self._is_read_back = False
        self.current = identity

    @classmethod
    async def open(
        cls, *, disk: Disk, vm_id: str, rng: random.Random
    ) -> "IdentityFile":
        """Read the identity, or create one in an empty folder.

        What is read may be lost until it is written anew, since the sync of
        the folder may have failed. This is done here before the cluster is
        formed, as founders promise by their identity, else by ``rewrite``.

        :raises DiskError: if it can't be read, or may not be durable
        :raises CorruptLog: if the folder is another VM's, of another format
            or has lost its identity
        """
        content = await disk.read(_FILE_NAME)
        if content is None:
            return await cls._create(disk, vm_id, rng)
        frame = decode_frame(content, 0)
        if frame is None:
            raise CorruptLog(f"{_FILE_NAME} is damaged")
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
        file = cls(disk=disk, identity=identity)
        file._is_read_back = True
        if not identity.formed:
            await file.rewrite()
        return file

    async def rewrite(self) -> None:
        """Write the identity that was read anew.

        :raises DiskError: if it may not be durable
        """
        if self._is_read_back:
            await self.save(self.current)

    @classmethod
    async def _create(
        cls, disk: Disk, vm_id: str, rng: random.Random
    ) -> "IdentityFile":
        names = await disk.list()
        leftovers = [
            name for name in names if name.startswith(("log-", "snap"))
        ]
        if leftovers:
            raise CorruptLog(
                f"{_FILE_NAME} is missing, but {leftovers[0]} is there"
            )
        identity = FolderIdentity(
            format=FORMAT_VERSION,
            vm_id=vm_id,
            disk_id=f"{rng.getrandbits(_DISK_ID_BITS):024x}",
        )
        file = cls(disk=disk, identity=identity)
        await file.save(identity)
        return file

    async def save(self, identity: FolderIdentity) -> None:
        """Write and sync an identity.

        :raises DiskError: if it may not be durable
        """
        frame = encode_frame(msgspec.msgpack.encode(identity))
        await replace_file(
            self._disk,
            _FILE_NAME,
            frame,
            temporary_name=_TEMPORARY_FILE_NAME,
        )
        self._is_read_back = False
        self.current = identity
