"""The identity and addresses of a VM."""

import msgspec


class VmIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a VM of the system.

    ``incarnation`` grows with each start of the same VM, unless it has no disk
    and its clock was set back (see ``starts``). Addresses are
    ``tcp://IP:PORT`` for control and ``http://IP:PORT`` for callers.
    """

    vm_id: str
    incarnation: int
    region: str
    data_centre: str
    control_address: str
    http_address: str
