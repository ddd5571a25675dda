"""The service that sends and receives messages.

The cost of a pynng send hardly depends on its size, so the messages to a peer
are batched into one frame per interval. The first message after a pause is
sent at once.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
from typing import Any
from typing import TypeVar

from loguru import logger
import msgspec

from burdockdrum.decoding import decode
from burdockdrum.decoding import decode_msgpack
from burdockdrum.decoding import InvalidData
from burdockdrum.metrics import Metrics
from burdockdrum.peers.authentication import PayloadAuthenticator
from burdockdrum.peers.compression import pack
from burdockdrum.peers.compression import unpack
from burdockdrum.peers.compression import UnpackError
from burdockdrum.peers.identity import VmIdentity
from burdockdrum.peers.link_monitor import LinkMonitor
from burdockdrum.peers.messages import Envelope
from burdockdrum.peers.messages import Frame
from burdockdrum.peers.messages import Message
from burdockdrum.peers.messages import Sender
from burdockdrum.peers.traffic import Traffic
from burdockdrum.ports import Clock
from burdockdrum.ports import Mailbox
from burdockdrum.ports import SendFailed
from burdockdrum.timeline import HybridClock

BATCH_INTERVAL_SECONDS = 0.02
MAX_QUEUED_MESSAGES = 2048
# A peer without messages for so long has no task or queue; checked four times
# in that time, as a timeout for each message would cost more than its queue.
IDLE_TIMEOUT_SECONDS = 120.0
# A quarter of the receiver's limit, as a single message may be larger.
MAX_FRAME_BYTES = 1024 * 1024

M = TypeVar("M", bound=Message)
R = TypeVar("R", bound=Message)
Handler = Callable[[Sender, Any], Awaitable[Message | None]]


class CallFailed(Exception):
    """No valid reply was received; the peer may have handled the call."""


class Peers:
    """Sends messages to other VMs by address and handles those received.

    Messages may be lost, and reordered after a reconnect. ``send`` never
    blocks; ``call`` waits for a reply until its timeout.
    """

    def __init__(
        self,
        *,
        identity: VmIdentity,
        mailbox: Mailbox,
        clock: Clock,
        hybrid_clock: HybridClock,
        rng: random.Random,
        authenticator: PayloadAuthenticator,
        metrics: Metrics,
    ) -> None:
        """Create the service over an open mailbox."""
        self.identity = identity
        self._mailbox = mailbox
        self._clock = clock
        self._hybrid_clock = hybrid_clock
        self._authenticator = authenticator
        self._handlers_by_kind: dict[str, tuple[type[Message], Handler]] = {}
        self._outboxes_by_address: dict[str, _Outbox] = {}
        self._inboxes_by_sender: dict[str, _Inbox] = {}
        self._replies_by_call: dict[int, asyncio.Future[msgspec.Raw]] = {}
        # Call ids start at a random number, so that a late reply to an
        # earlier incarnation of this VM matches no call of this one.
        self._next_call = rng.randrange(1, 1 << 48)
        self._group: asyncio.TaskGroup | None = None
        self._link_monitor = LinkMonitor()
        self.traffic = Traffic(metrics=metrics)
        frame_bytes = metrics.counter(
            "burdockdrum_peer_bytes_total", "Bytes sent to and from peers."
        )
        self._bytes_out = frame_bytes.bind(way="out")
        self._bytes_in = frame_bytes.bind(way="in")
        frames = metrics.counter(
            "burdockdrum_peer_frames_total", "Frames sent to and from peers."
        )
        self._frames_out = frames.bind(way="out")
        self._frames_in = frames.bind(way="in")
        self._renewed = metrics.counter(
            "burdockdrum_peer_links_renewed_total",
            "Connections to peers reopened because nothing arrived.",
        )
        self._dropped = metrics.counter(
            "burdockdrum_peer_dropped_total",
            "Messages dropped, by reason.",
        )

    def register(
        self,
        message_type: type[M],
        handler: Callable[[Sender, M], Awaitable[Message | None]],
    ) -> None:
        """Set the handler of a message type.

        The handler returns the reply to a call. Messages of one sender that
        expect no reply are handled one by one, in order; calls are handled
        concurrently.
        """
        self._handlers_by_kind[message_type.kind()] = (message_type, handler)

    def send(self, address: str, message: Message) -> None:
        """Queue a message; a full queue drops its oldest message."""
        envelope = _envelope(message, 0, is_reply=False)
        self._enqueue(address, envelope, is_urgent=message.is_urgent)

    async def call(
        self,
        address: str,
        message: Message,
        reply_type: type[R],
        *,
        timeout: float,
    ) -> R:
        """Send a message and wait for its reply.

        :param timeout: seconds to wait
        :raises CallFailed: if no valid reply was received in time; the peer
            may have handled the call
        """
        call_id = self._next_call
        self._next_call += 1
        future: asyncio.Future[msgspec.Raw] = asyncio.Future()
        self._replies_by_call[call_id] = future
        try:
            envelope = _envelope(message, call_id, is_reply=False)
            self._enqueue(address, envelope, is_urgent=message.is_urgent)
            async with asyncio.timeout(timeout):
                body = await future
            return decode_msgpack(body, reply_type)
        except TimeoutError:
            raise CallFailed(
                f"no reply to {message.kind()} from {address} in {timeout} s"
            ) from None
        except InvalidData as error:
            raise CallFailed(f"bad reply from {address}: {error}") from error
        finally:
            del self._replies_by_call[call_id]

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            for address, outbox in self._outboxes_by_address.items():
                outbox.task = group.create_task(self._send_to(address, outbox))
            group.create_task(self._receive())
            group.create_task(self._remove_idle())

    async def close(self) -> None:
        """Close the mailbox."""
        await self._mailbox.close()

    def _enqueue(
        self, address: str, envelope: Envelope, *, is_urgent: bool
    ) -> None:
        outbox = self._outboxes_by_address.get(address)
        if outbox is None:
            outbox = _Outbox()
            self._outboxes_by_address[address] = outbox
            if self._group is not None:
                outbox.task = self._spawn(self._send_to(address, outbox))
        if len(outbox.envelopes) == MAX_QUEUED_MESSAGES:
            self._dropped.increment(reason="queue_full")
        outbox.envelopes.append(envelope)
        outbox.used_at = self._clock.monotonic()
        outbox.filled.set()
        if is_urgent:
            outbox.hurried.set()

    async def _send_to(self, address: str, outbox: "_Outbox") -> None:
        next_at = float("-inf")
        while True:
            await outbox.filled.wait()
            # Sleeping before the next frame rather than after each one saves
            # a wake-up, as most frames come alone.
            delay = next_at - self._clock.monotonic()
            if delay > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay):
                        await outbox.hurried.wait()
            outbox.hurried.clear()
            batch = outbox.pop_batch()
            try:
                await self._send_frame(address, batch)
            except Exception as error:
                # One frame must not end the task that serves all peers.
                self._dropped.increment(len(batch), reason="failed")
                self._report_error(error, f"sending to {address}")
            next_at = self._clock.monotonic() + BATCH_INTERVAL_SECONDS

    async def _send_frame(
        self, address: str, envelopes: list[Envelope]
    ) -> None:
        now = self._clock.monotonic()
        if self._link_monitor.must_reconnect(address, now):
            self._renewed.increment()
            self._mailbox.renew(address)
        self._link_monitor.record_sent(address, now)
        frame = Frame(
            self.identity.vm_id,
            self._mailbox.address,
            self.identity.incarnation,
            self._hybrid_clock.tick(),
            envelopes,
            self._link_monitor.received_age(address, now),
        )
        payload = self._authenticator.sign(pack(msgspec.msgpack.encode(frame)))
        self._bytes_out.increment(len(payload))
        self._frames_out.increment()
        self.traffic.record_frame(address, envelopes, len(payload))
        try:
            await self._mailbox.send(address, payload)
        except SendFailed:
            self._dropped.increment(len(envelopes), reason="send_failed")

    async def _receive(self) -> None:
        decoder = msgspec.msgpack.Decoder(Frame)
        while True:
            signed = await self._mailbox.receive()
            self._bytes_in.increment(len(signed))
            self._frames_in.increment()
            payload = self._authenticator.verify(signed)
            if payload is None:
                self._dropped.increment(reason="bad_seal")
                continue
            try:
                frame = decode(decoder, unpack(payload))
            except (InvalidData, UnpackError):
                self._dropped.increment(reason="bad_frame")
                continue
            try:
                self._dispatch(frame)
            except Exception as error:
                # One frame must not end the task that serves all peers.
                self._dropped.increment(reason="failed")
                self._report_error(error, f"a frame of {frame.sender_id}")

    def _dispatch(self, frame: Frame) -> None:
        self._hybrid_clock.observe(frame.stamp)
        self._link_monitor.record_received(
            frame.sender_address,
            self._clock.monotonic(),
            frame.received_age,
            frame.incarnation,
        )
        sender = Sender(
            vm_id=frame.sender_id,
            address=frame.sender_address,
            incarnation=frame.incarnation,
        )
        for envelope in frame.envelopes:
            if envelope.is_reply:
                self._resolve(envelope)
            elif envelope.call_id:
                self._spawn(self._handle(sender, envelope))
            else:
                self._inbox_of(sender).queue.put_nowait((sender, envelope))

    def _resolve(self, envelope: Envelope) -> None:
        future = self._replies_by_call.get(envelope.call_id)
        # The call may have timed out already.
        if future is not None and not future.done():
            future.set_result(envelope.body)

    def _inbox_of(self, sender: Sender) -> "_Inbox":
        inbox = self._inboxes_by_sender.get(sender.address)
        if inbox is None:
            inbox = _Inbox()
            self._inboxes_by_sender[sender.address] = inbox
            inbox.task = self._spawn(self._handle_inbox(inbox))
        inbox.used_at = self._clock.monotonic()
        return inbox

    async def _handle_inbox(self, inbox: "_Inbox") -> None:
        while True:
            sender, envelope = await inbox.queue.get()
            inbox.is_handling = True
            await self._handle(sender, envelope)
            inbox.is_handling = False

    async def _remove_idle(self) -> None:
        while True:
            await self._clock.sleep(IDLE_TIMEOUT_SECONDS / 4)
            since = self._clock.monotonic() - IDLE_TIMEOUT_SECONDS
            for address, outbox in list(self._outboxes_by_address.items()):
                if outbox.is_idle(since):
                    outbox.cancel()
                    del self._outboxes_by_address[address]
                    self._link_monitor.remove(address)
                    self.traffic.remove(address)
            for address, inbox in list(self._inboxes_by_sender.items()):
                if inbox.is_idle(since):
                    inbox.cancel()
                    del self._inboxes_by_sender[address]

    async def _handle(self, sender: Sender, envelope: Envelope) -> None:
        registered = self._handlers_by_kind.get(envelope.kind)
        if registered is None:
            self._dropped.increment(reason="unknown_kind")
            return
        message_type, handler = registered
        try:
            message = decode_msgpack(envelope.body, message_type)
        except InvalidData:
            self._dropped.increment(reason="bad_body")
            return
        try:
            reply = await handler(sender, message)
            if reply is not None and envelope.call_id:
                self._enqueue(
                    sender.address,
                    _envelope(reply, envelope.call_id, is_reply=True),
                    is_urgent=reply.is_urgent,
                )
        except Exception as error:
            # A failed handler must not end the task that serves all peers.
            self._dropped.increment(reason="failed")
            self._report_error(error, f"{envelope.kind} from {sender.vm_id}")

    def _report_error(self, error: Exception, about: str) -> None:
        logger.opt(exception=error).error("handling {} failed", about)

    def _spawn(self, coroutine: Any) -> asyncio.Task[None] | None:
        assert self._group is not None, "peers is not running"
        try:
            return self._group.create_task(coroutine)
        except RuntimeError:
            # The group is being cancelled: sending during the shutdown must
            # not fail.
            coroutine.close()
            return None


class _Box:
    """The task that handles the messages to or from one peer.

    ``used_at`` is when it last got or sent one, by the monotonic clock.
    """

    def __init__(self) -> None:
        self.used_at = float("-inf")
        self.task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """End the task."""
        if self.task is not None:
            self.task.cancel()


class _Inbox(_Box):
    """The queue of messages from one peer that expect no reply."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: asyncio.Queue[tuple[Sender, Envelope]] = asyncio.Queue()
        self.is_handling = False

    def is_idle(self, since: float) -> bool:
        """Return whether nothing arrived since a time."""
        is_busy = self.is_handling or not self.queue.empty()
        return self.used_at < since and not is_busy


class _Outbox(_Box):
    """The queue of messages to one peer."""

    def __init__(self) -> None:
        super().__init__()
        self.envelopes = collections.deque[Envelope](
            maxlen=MAX_QUEUED_MESSAGES
        )
        self.filled = asyncio.Event()
        self.hurried = asyncio.Event()

    def is_idle(self, since: float) -> bool:
        """Return whether nothing was sent since a time."""
        return self.used_at < since and not self.filled.is_set()

    def pop_batch(self) -> list[Envelope]:
        """Remove and return the messages of the next frame, at least one.

        The size is limited because the receiver silently drops a payload
        over its limit, with all messages in it.
        """
        batch = [self.envelopes.popleft()]
        size = len(batch[0].body)
        while self.envelopes:
            size += len(self.envelopes[0].body)
            if size > MAX_FRAME_BYTES:
                break
            batch.append(self.envelopes.popleft())
        if not self.envelopes:
            self.filled.clear()
        return batch


def _envelope(message: Message, call_id: int, *, is_reply: bool) -> Envelope:
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    return Envelope(message.kind(), call_id, is_reply, body)
