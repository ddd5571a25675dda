"""Another VM of this data centre, as a VM knows it."""

from dataclasses import dataclass

import msgspec

from burdockdrum.peers import VmIdentity
from burdockdrum.vms.liveness import Health
from burdockdrum.vms.liveness import Heartbeat
from burdockdrum.vms.publication import Publication


class VmState(msgspec.Struct, frozen=True, array_like=True):
    """What a VM publishes of itself beside its identity."""

    draining: bool
    revision: int
    in_flight: int


@dataclass(kw_only=True)
class Member:
    """Another VM of this data centre; ``state`` is None until heard."""

    identity: VmIdentity
    publication: Publication
    heartbeat: Heartbeat
    state: VmState | None = None
    health: Health = Health.ALIVE
    asked_at: float = float("-inf")
