"""An in-memory control network with fault injection."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace
import random

from burdockdrum.ports import Mailbox
from burdockdrum.ports import SendFailed


@dataclass(frozen=True, kw_only=True)
class LinkState:
    """The state of the link from one host to another.

    ``delay`` and ``jitter`` are in seconds; jitter reorders payloads.
    ``loss`` and ``duplicate`` are probabilities. A link that is ``cut`` drops
    payloads without an error.
    """

    delay: float = 0.001
    jitter: float = 0.0005
    loss: float = 0.0
    duplicate: float = 0.0
    cut: bool = False


class FakeNetwork:
    """The links between all hosts of a test."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a network without faults."""
        self._rng = rng
        self._default = LinkState()
        self._links: dict[tuple[str, str], LinkState] = {}
        self._mailboxes_by_address: dict[str, _FakeMailbox] = {}
        self._next_port = 1
        self.delivered = 0
        self.bytes_by_host: dict[str, int] = {}

    def host(self, name: str) -> "HostNetwork":
        """Return the control network as seen by one host."""
        return HostNetwork(network=self, name=name)

    def set_default(self, **changes: float | bool) -> None:
        """Change the state of links that were not set individually."""
        self._default = replace(self._default, **changes)  # type: ignore

    def set_link(
        self,
        source: str,
        target: str,
        *,
        both: bool = True,
        **changes: float | bool,
    ) -> None:
        """Change the link between two hosts.

        :param both: change the reverse link too
        """
        state = replace(self.link(source, target), **changes)  # type: ignore
        self._links[(source, target)] = state
        if both:
            back = self.link(target, source)
            state = replace(back, **changes)  # type: ignore
            self._links[(target, source)] = state

    def link(self, source: str, target: str) -> LinkState:
        """Return the state of the link from one host to another."""
        return self._links.get((source, target), self._default)

    def cut(
        self, sources: list[str], targets: list[str], *, both: bool = True
    ) -> None:
        """Cut the links from one group of hosts to another."""
        self._set_cut(sources, targets, both, True)

    def heal(
        self, sources: list[str], targets: list[str], *, both: bool = True
    ) -> None:
        """Restore links that were cut."""
        self._set_cut(sources, targets, both, False)

    def _set_cut(
        self, sources: list[str], targets: list[str], both: bool, cut: bool
    ) -> None:
        for source in sources:
            for target in targets:
                if source != target:
                    self.set_link(source, target, both=both, cut=cut)

    def open(self, host: str, address: str) -> "_FakeMailbox":
        """Open a mailbox for a host; port 0 selects a free port."""
        if address.endswith(":0"):
            address = f"{address[:-1]}{self._next_port}"
            self._next_port += 1
        mailbox = _FakeMailbox(network=self, host=host, address=address)
        self._mailboxes_by_address[address] = mailbox
        return mailbox

    def remove_mailbox(self, mailbox: "_FakeMailbox") -> None:
        """Remove a closed mailbox."""
        if self._mailboxes_by_address.get(mailbox.address) is mailbox:
            del self._mailboxes_by_address[mailbox.address]

    def deliver(self, host: str, address: str, payload: bytes) -> None:
        """Deliver a payload according to the state of its link.

        :raises SendFailed: if no mailbox has the address
        """
        sent = self.bytes_by_host.get(host, 0)
        self.bytes_by_host[host] = sent + len(payload)
        target = self._mailboxes_by_address.get(address)
        if target is None:
            raise SendFailed(f"no mailbox listens on {address}")
        link = self.link(host, target.host)
        copies = 2 if self._rng.random() < link.duplicate else 1
        for _ in range(copies):
            if link.cut or self._rng.random() < link.loss:
                continue
            delay = link.delay + self._rng.random() * link.jitter
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._receive, host, address, payload)

    def _receive(self, host: str, address: str, payload: bytes) -> None:
        target = self._mailboxes_by_address.get(address)
        if target is None or self.link(host, target.host).cut:
            return
        self.delivered += 1
        target.queue.put_nowait(payload)


class HostNetwork:
    """The control network as seen by one host."""

    def __init__(self, *, network: FakeNetwork, name: str) -> None:
        """Create the view of one host."""
        self._network = network
        self._name = name

    async def open(self, address: str) -> Mailbox:
        """Listen on an address."""
        return self._network.open(self._name, address)


class _FakeMailbox:
    def __init__(
        self, *, network: FakeNetwork, host: str, address: str
    ) -> None:
        self._network = network
        self._address = address
        self.host = host
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()

    @property
    def address(self) -> str:
        return self._address

    async def send(self, address: str, payload: bytes) -> None:
        self._network.deliver(self.host, address, payload)

    def renew(self, address: str) -> None:
        """Do nothing: in-memory links have no connections to reopen."""

    async def receive(self) -> bytes:
        return await self.queue.get()

    async def close(self) -> None:
        self._network.remove_mailbox(self)
