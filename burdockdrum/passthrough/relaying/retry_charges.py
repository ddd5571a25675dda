"""Charges the retries of requests to the retry budget."""

from collections.abc import Awaitable
from collections.abc import Callable

from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.state import RetryBudget


class RetryCharges:
    """Charges each attempt of a request that may have arrived before."""

    def __init__(
        self,
        *,
        budget: RetryBudget,
        borrow: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Create it for the budget of an entry.

        :param borrow: borrows retries of a service from other entries, and
            returns whether there were any
        """
        self._budget = budget
        self._borrow = borrow

    def record_request(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> None:
        """Count a request, unless another entry did."""
        if not progress.is_counted:
            progress.is_counted = True
            self._budget.record_request(request.backend.name)

    async def acquire(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> bool:
        """Charge the next attempt, with a borrowed retry if need be.

        :returns: whether it may be sent
        """
        if self.ensure_charged(request, progress):
            return True
        if not await self._borrow(request.backend.name):
            return False
        return self.ensure_charged(request, progress)

    def ensure_charged(
        self, request: ProxiedRequest, progress: RequestProgress
    ) -> bool:
        """Charge the next attempt, unless a valid grant covers it.

        :returns: whether it may be sent now
        """
        grant = progress.retry_grant
        if grant is not None and self._budget.is_valid(grant):
            return True
        self.release(progress)
        progress.retry_grant = self._budget.acquire(
            request.backend.name, request.request_id
        )
        return progress.retry_grant is not None

    def release(self, progress: RequestProgress) -> None:
        """Undo the charge of an attempt that is not sent."""
        if progress.retry_grant is not None:
            self._budget.release(progress.retry_grant)
            progress.retry_grant = None
