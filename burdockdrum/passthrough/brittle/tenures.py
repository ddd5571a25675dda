"""Which entry grants the places of each brittle endpoint.

The first request for a place goes to the entry that the endpoint's id selects,
which begins a tenure. Another entry begins a later one only when it is asked
by an entry that does not reach the holder.
"""

from collections.abc import Container
from collections.abc import Mapping

from burdockdrum.logs import log_decision
from burdockdrum.passthrough.brittle.messages import Tenure
from burdockdrum.registrations import LikelyEntries

# That of an endpoint whose places nobody granted before.
FIRST_TERM = 1


class Tenures:
    """The latest tenures that this entry knows, by endpoint id."""

    def __init__(
        self, *, own_id: str, own_address: str, entries: LikelyEntries
    ) -> None:
        """Create it without any.

        :param own_id: the id of this entry
        :param own_address: where it gets messages; control VMs may not list
            it yet
        :param entries: those that may hold the places of an endpoint
        """
        self._own_id = own_id
        self._own_address = own_address
        self._entries = entries
        self._tenures_by_id: dict[str, Tenure] = {}

    def find(self, endpoint_id: str) -> Tenure | None:
        """Return the latest tenure of an endpoint, None if there is none."""
        return self._tenures_by_id.get(endpoint_id)

    def term_of(self, endpoint_id: str) -> int:
        """Return the term of the latest tenure, 0 if there is none."""
        known = self._tenures_by_id.get(endpoint_id)
        return known.term if known is not None else 0

    def is_own(self, endpoint_id: str) -> bool:
        """Return whether this entry grants the places of an endpoint."""
        known = self._tenures_by_id.get(endpoint_id)
        return known is not None and known.vm_id == self._own_id

    def list_own_terms(self) -> dict[str, int]:
        """Return the terms of this entry's tenures by endpoint id."""
        return {
            endpoint_id: tenure.term
            for endpoint_id, tenure in self._tenures_by_id.items()
            if tenure.vm_id == self._own_id
        }

    def observe(self, endpoint_id: str, tenure: Tenure) -> bool:
        """Record a tenure; return whether it is later than the known one."""
        known = self._tenures_by_id.get(endpoint_id)
        if not tenure.is_later_than(known):
            return False
        self._tenures_by_id[endpoint_id] = tenure
        log_decision(
            "endpoint.place_holder_changed",
            endpoint_id=endpoint_id,
            about_vm=tenure.vm_id,
            term=tenure.term,
            previous=known.vm_id if known is not None else None,
        )
        return True

    def begin(self, endpoint_id: str, after: int) -> Tenure:
        """Begin a tenure of this entry, later than a term and all known."""
        tenure = Tenure(
            term=max(after, self.term_of(endpoint_id)) + 1,
            vm_id=self._own_id,
            address=self._own_address,
        )
        self.observe(endpoint_id, tenure)
        return tenure

    def choose_holder(
        self, endpoint_id: str, unreached: Container[str]
    ) -> tuple[str, str] | None:
        """Return the id and the address of the entry to ask for a place.

        :param unreached: ids of entries that did not reply lately
        :returns: None if no entry is known
        """
        known = self._tenures_by_id.get(endpoint_id)
        if known is not None and known.vm_id not in unreached:
            return known.vm_id, known.address
        vm_id = self._entries.choose(endpoint_id, unreached)
        if vm_id is None:
            return None
        return vm_id, self._entries.address_by_id[vm_id]

    def retain(self, endpoints: Mapping[str, object]) -> None:
        """Forget endpoints that have ended."""
        self._tenures_by_id = {
            endpoint_id: tenure
            for endpoint_id, tenure in self._tenures_by_id.items()
            if endpoint_id in endpoints
        }
