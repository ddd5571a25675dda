"""A control network in memory that fails as told."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace
import random

from burdockdrum.ports import Mailbox
from burdockdrum.ports import SendFailed


@dataclass(frozen=True, kw_only=True)
class LinkState:
    """What happens to payloads from one host to another.

    ``delay`` and ``jitter`` are seconds; jitter reorders. ``loss`` and
    ``duplicate`` are probabilities. A link that is ``cut`` drops silently.
    """

    delay: float = 0.001
    jitter: float = 0.0005
    loss: float = 0.0
    duplicate: float = 0.0
    cut: bool = False


class FakeNetwork:
    """The links between all hosts of a test."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a network whose links are all good."""
        self._rng = rng
        self._default = LinkState()
        self._links: dict[tuple[str, str], LinkState] = {}
        self._mailboxes_by_address: dict[str, _FakeMailbox] = {}
        self._next_port = 1
        self.delivered = 0
        self.bytes_by_host: dict[str, int] = {}

    def host(self, name: str) -> "HostNetwork":
        """Return the network port of one host."""
        return HostNetwork(network=self, name=name)

    def set_default(self, **changes: float | bool) -> None:
        """Change the state of links that were not set one by one."""
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

        :param both: also the way back; False makes a one-way fault
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
        """Drop everything from one group of hosts to another."""
        self._set_cut(sources, targets, both, True)

    def heal(
        self, sources: list[str], targets: list[str], *, both: bool = True
    ) -> None:
        """Undo a cut."""
        self._set_cut(sources, targets, both, False)

    def _set_cut(
        self, sources: list[str], targets: list[str], both: bool, cut: bool
    ) -> None:
        for source in sources:
            for target in targets:
                if source != target:
                    self.set_link(source, target, both=both, cut=cut)

    def open(self, host: str, address: str) -> "_FakeMailbox":
        """Open a mailbox for a host; port 0 takes a free one."""
        if address.endswith(":0"):
            address = f"{address[:-1]}{self._next_port}"
            self._next_port += 1
        mailbox = _FakeMailbox(network=self, host=host, address=address)
        self._mailboxes_by_address[address] = mailbox
        return mailbox

    def forget(self, mailbox: "_FakeMailbox") -> None:
        """Drop a mailbox that was closed."""
        if self._mailboxes_by_address.get(mailbox.address) is mailbox:
            del self._mailboxes_by_address[mailbox.address]

    def deliver(self, host: str, address: str, payload: bytes) -> None:
        """Carry a payload, as the link's state says."""
        sent = self.bytes_by_host.get(host, 0)
        self.bytes_by_host[host] = sent + len(payload)
        target = self._mailboxes_by_address.get(address)
        if target is None:
            raise SendFailed(f"nobody listens on {address}")
        link = self.link(host, target.host)
        copies = 2 if self._rng.random() < link.duplicate else 1
        for _ in range(copies):
            if link.cut or self._rng.random() < link.loss:
                continue
            delay = link.delay + self._rng.random() * link.jitter
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._arrive, host, address, payload)

    def _arrive(self, host: str, address: str, payload: bytes) -> None:
        target = self._mailboxes_by_address.get(address)
        if target is None or self.link(host, target.host).cut:
            return
        self.delivered += 1
        target.queue.put_nowait(payload)


class HostNetwork:
    """The control network as one host sees it."""

    def __init__(self, *, network: FakeNetwork, name: str) -> None:
        """Create the port of a host."""
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
        """Do nothing: a link in memory has no connection that hangs."""

    async def receive(self) -> bytes:
        return await self.queue.get()

    async def close(self) -> None:
        self._network.forget(self)
