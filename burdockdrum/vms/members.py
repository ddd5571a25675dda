"""The state that a VM stores about another VM of its data centre."""

from dataclasses import dataclass

import msgspec

from burdockdrum.peers import VmIdentity
from burdockdrum.vms.liveness import Health
from burdockdrum.vms.liveness import Heartbeat
from burdockdrum.vms.publication import Publication


class VmState(msgspec.Struct, frozen=True, array_like=True):
    """The state that a VM publishes beside its identity.

    ``is_cut_off`` says that it reaches no endpoint.
    """

    draining: bool
    revision: int
    in_flight: int
    is_cut_off: bool = False


@dataclass(kw_only=True)
class Member:
    """Another VM of this data centre; ``state`` is None until received."""

    identity: VmIdentity
    publication: Publication
    heartbeat: Heartbeat
    state: VmState | None = None
    health: Health = Health.ALIVE
    queried_at: float = float("-inf")
