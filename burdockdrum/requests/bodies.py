"""Bodies of answers that clean up however they end."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable


class ClosingBody:
    """The parts of a body, with what to do once at its end.

    The ``finally`` of an asynchronous generator is not run if the generator is
    closed before its first part, as when a caller disconnects at that moment.
    """

    def __init__(
        self,
        parts: AsyncIterator[bytes],
        *,
        at_end: Callable[[], Awaitable[None]],
    ) -> None:
        """Wrap the parts.

        :param at_end: called after the last part, an error, or the closing
        """
        self._parts = parts
        self._at_end = at_end
        self._closed = False

    def __aiter__(self) -> "ClosingBody":
        """Return the body."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part."""
        try:
            return await anext(self._parts)
        except BaseException:
            await self.aclose()
            raise

    async def aclose(self) -> None:
        """End the body; further calls have no effect."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._parts, "aclose", None)
            if close is not None:
                await close()
        finally:
            await self._at_end()
