"""A directory of VMs that does not change and sends nothing."""

from dataclasses import dataclass

from burdockdrum.peers import VmIdentity


@dataclass(frozen=True, kw_only=True)
class View:
    """A VM as the directory shows it."""

    identity: VmIdentity


class FixedDirectory:
    """A directory in which all VMs live: it sends nothing itself."""

    draining = False

    def __init__(self, identities: list[VmIdentity]) -> None:
        self._views = [View(identity=identity) for identity in identities]
        self._by_data_centre: dict[str, list[View]] = {}
        for view in self._views:
            name = view.identity.data_centre
            self._by_data_centre.setdefault(name, []).append(view)

    def live_vms(self) -> list[View]:
        """Return all."""
        return self._views

    def vms_in(self, data_centre: str) -> list[View]:
        """Return those of a data centre."""
        return self._by_data_centre[data_centre]

    def relay_of(self, data_centre: str) -> View:
        """Return the last, which is no control VM where there are two."""
        return self._by_data_centre[data_centre][-1]
