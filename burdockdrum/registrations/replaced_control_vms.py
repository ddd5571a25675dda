"""Which VMs that reported endpoints are no control VMs any more."""

from collections.abc import Collection


class ReplacedControlVms:
    """Finds the VMs whose reports may be forgotten.

    Their endpoints check in at other control VMs, which report them.
    """

    def __init__(self, *, grace_seconds: float) -> None:
        """Start without replaced VMs.

        :param grace_seconds: in which live endpoints check in elsewhere
        """
        self._grace_seconds = grace_seconds
        self._since_by_id: dict[str, float] = {}

    def list_forgettable(
        self,
        *,
        known: Collection[str],
        current: Collection[str],
        heard: Collection[str],
        now: float,
    ) -> list[str]:
        """Return the ids of VMs that have been replaced for long enough.

        None while a current control VM is not heard: endpoints may check in
        there.

        :param known: the ids of all VMs that have reported endpoints
        :param current: the ids of the control VMs
        :param heard: the ids of VMs that have sent a message lately
        """
        if not current or not set(current) <= set(heard):
            self._since_by_id.clear()
            return []
        self._since_by_id = {
            vm_id: self._since_by_id.get(vm_id, now)
            for vm_id in known
            if vm_id not in current
        }
        return [
            vm_id
            for vm_id, since in self._since_by_id.items()
            if now - since >= self._grace_seconds
        ]
