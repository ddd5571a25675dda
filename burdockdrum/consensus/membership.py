"""The members of a cluster, defined by configuration entries of the log.

After section 4.1 of Ongaro's thesis (2014): a configuration takes effect as
soon as its entry is in the log, and adjacent ones differ by one voter, so
that any two of their quorums share a member.
"""

import msgspec


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A control VM together with its disk.

    A VM that returns with another disk is another member: its votes and
    acknowledgements are lost. A member that is no ``voter`` is a learner,
    which receives the log and is in no quorum.
    """

    vm_id: str
    address: str
    disk_id: str
    voter: bool = True


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The members of one cluster."""

    cluster_id: str
    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the members that vote and form quorums."""
        return tuple(member for member in self.members if member.voter)

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1

    def find(self, vm_id: str) -> Member | None:
        """Return the member of a VM, if there is one."""
        for member in self.members:
            if member.vm_id == vm_id:
                return member
        return None

    def has_voter(self, vm_id: str, disk_id: str) -> bool:
        """Return whether a VM with this disk is a voter."""
        member = self.find(vm_id)
        return (
            member is not None and member.voter and member.disk_id == disk_id
        )

    def with_member(self, member: Member) -> "Configuration":
        """Return a copy with a member added, or replaced by VM id."""
        others = self.without(member.vm_id).members
        return Configuration(
            cluster_id=self.cluster_id, members=(*others, member)
        )

    def without(self, vm_id: str) -> "Configuration":
        """Return a copy without the member of a VM."""
        return Configuration(
            cluster_id=self.cluster_id,
            members=tuple(m for m in self.members if m.vm_id != vm_id),
        )

    def encode(self) -> bytes:
        """Encode this as the data of a configuration entry."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "Configuration":
        """Decode the data of a configuration entry."""
        return msgspec.msgpack.decode(data, type=cls)


class ConfigurationHistory:
    """Keeps configurations by the index of their entries."""

    def __init__(self, *, index: int, configuration: Configuration) -> None:
        """Start with the configuration of a snapshot or of the bootstrap."""
        self._by_index = {index: configuration}

    @property
    def latest(self) -> Configuration:
        """Return the configuration in effect."""
        return self._by_index[self.latest_index]

    @property
    def latest_index(self) -> int:
        """Return the index of the configuration in effect."""
        return max(self._by_index)

    def at(self, index: int) -> Configuration:
        """Return the configuration in effect at an index."""
        known = [place for place in self._by_index if place <= index]
        return self._by_index[max(known, default=min(self._by_index))]

    def add(self, index: int, configuration: Configuration) -> None:
        """Add the configuration of an entry."""
        self._by_index[index] = configuration

    def truncate(self, index: int) -> None:
        """Remove the configurations at or after an index."""
        kept = {i: c for i, c in self._by_index.items() if i < index}
        if kept:
            self._by_index = kept
