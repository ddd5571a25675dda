"""The port for messages between the system's own processes."""

from typing import Protocol


class SendFailed(Exception):
    """A payload was not handed to the peer in time; it may still arrive."""


class Mailbox(Protocol):
    """One process's place on the control network.

    Delivery is lossy: a payload may be dropped, delayed, doubled or arrive
    after later ones, and its sender is not proved.
    """

    @property
    def address(self) -> str:
        """Return the address under which others reach this mailbox."""
        ...

    async def send(self, address: str, payload: bytes) -> None:
        """Hand a payload over for delivery.

        :raises SendFailed: if the peer took nothing within the time limit
        """
        ...

    def renew(self, address: str) -> None:
        """Send to a peer over a new connection from now on.

        What was handed over and not delivered yet may be lost.
        """
        ...

    async def receive(self) -> bytes:
        """Wait for the next payload."""
        ...

    async def close(self) -> None:
        """Give the address back; unsent payloads are lost."""
        ...


class Network(Protocol):
    """The control network as seen from one VM."""

    async def open(self, address: str) -> Mailbox:
        """Listen on an address, such as ``tcp://127.0.0.1:0``."""
        ...
