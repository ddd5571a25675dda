"""The port for messages between the VMs of one deployment."""

from typing import Protocol


class SendFailed(Exception):
    """A payload was not sent within the timeout; it may still arrive."""


class Mailbox(Protocol):
    """One process's address on the control network.

    Delivery is unreliable: a payload may be dropped, delayed, duplicated or
    reordered, and its sender is not authenticated.
    """

    @property
    def address(self) -> str:
        """Return the address under which others reach this mailbox."""
        ...

    async def send(self, address: str, payload: bytes) -> None:
        """Queue a payload for delivery.

        :raises SendFailed: if the peer accepted nothing within the timeout
        """
        ...

    def renew(self, address: str) -> None:
        """Replace the connection to a peer by a new one.

        Payloads that are queued for the old one may be lost.
        """
        ...

    async def receive(self) -> bytes:
        """Wait for the next payload."""
        ...

    async def close(self) -> None:
        """Release the address; unsent payloads are lost."""
        ...


class Network(Protocol):
    """The control network as seen from one VM."""

    async def open(self, address: str) -> Mailbox:
        """Listen on an address, such as ``tcp://127.0.0.1:0``."""
        ...
