"""Emulates the continuous batching of a model engine, without a model.

Iteration-level scheduling as in Yu et al., "Orca" (OSDI 2022): requests
join and leave the batch between two steps, and a step takes longer the more
sequences it holds. Prompts are prefilled in chunks beside the decoding
sequences (Agrawal et al., "Sarathi-Serve", OSDI 2024), except for the cached
prefix.
"""

import asyncio
import collections
from collections.abc import AsyncGenerator
from collections.abc import Callable
from dataclasses import dataclass
import enum
import heapq
import itertools
import math
import random

from burdockdrum.emulator.completions import make_token
from burdockdrum.emulator.completions import Work
from burdockdrum.emulator.prefix_cache import PrefixCache
from burdockdrum.ports import Clock

# Prompt tokens per block of the prefix cache.
BLOCK_TOKENS = 128
_SLOW_FACTOR = 10
_HANG_POLL_SECONDS = 0.5


class EngineCrashed(ConnectionError):
    """The engine crashed: its streams break off."""


class EngineFailed(Exception):
    """The engine fails every request immediately."""


class Fault(enum.Enum):
    """A fault to inject into an engine.

    ``SILENT`` accepts new requests without processing them, so that the
    engine reports no load; ``HANG`` stops the processing of all requests.
    """

    NONE = "none"
    ERRORS = "errors"
    SLOW = "slow"
    HANG = "hang"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """Speed and capacity of an engine; times are in seconds.

    A step takes ``token_seconds``, plus ``sequence_seconds`` for each
    sequence in the batch, plus ``prefill_seconds`` for each of at most
    ``prefill_chunk`` prompt tokens. ``steps_at_once`` above 1 merges up to
    that many equal decode steps into one sleep; their tokens arrive together.
    ``poison`` is a byte string that crashes the engine when a prompt has it.
    """

    service: str
    slots: int = 8
    prefill_seconds: float = 0.0001
    prefill_chunk: int = 512
    token_seconds: float = 0.01
    sequence_seconds: float = 0.0
    steps_at_once: int = 1
    cache_blocks: int = 512
    cache_event_lag: float = 0.0
    cache_event_loss: float = 0.0
    report_lag: float = 0.0
    poison: bytes | None = None


class _Job:
    """A request in the queue or in the batch."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.tokens_produced = work.resume_offset
        self.prefill_tokens_left = 0
        self.ended = False
        self.error: Exception | None = None
        self.changed = asyncio.Event()

    def end(self, error: Exception | None = None) -> None:
        self.ended = True
        self.error = error
        self.changed.set()


class EmulatedEngine:
    """An engine with continuous batching, used over HTTP or in memory."""

    def __init__(
        self,
        *,
        settings: EngineSettings,
        clock: Clock,
        rng: random.Random | None = None,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Create an idle engine.

        :param on_crash: called when the engine crashes, to stop its server
        """
        self.settings = settings
        self.fault = Fault.NONE
        self.died = asyncio.Event()
        self.completed = 0
        self.busy_seconds = 0.0
        self.slot_seconds = 0.0
        self.cache = PrefixCache(
            clock=clock,
            rng=rng or random.Random(0),
            capacity=settings.cache_blocks,
            event_lag=settings.cache_event_lag,
            event_loss=settings.cache_event_loss,
        )
        self.clock = clock
        self._on_crash = on_crash
        self._batch: list[_Job] = []
        self._queue: list[tuple[int, int, _Job]] = []
        self._arrival_numbers = itertools.count()
        self._jobs_by_request_id: dict[str, _Job] = {}
        self._batch_changed = asyncio.Event()
        self._batch_task: asyncio.Task[None] | None = None
        self._load_history: collections.deque[tuple[float, int, int]] = (
            collections.deque([(-math.inf, 0, 0)])
        )

    @property
    def running(self) -> int:
        """Return how many requests are in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(not job.ended for _, _, job in self._queue)

    def read_reported_load(self) -> tuple[int, int]:
        """Return the running and waiting counts of ``report_lag`` ago."""
        limit = self.clock.monotonic() - self.settings.report_lag
        while (
            len(self._load_history) > 1 and self._load_history[1][0] <= limit
        ):
            self._load_history.popleft()
        _, running, waiting = self._load_history[0]
        return running, waiting

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was running or waiting."""
        job = self._jobs_by_request_id.get(request_id)
        if job is None:
            return False
        self._remove(job)
        return True

    def crash(self) -> None:
        """Crash: break off every stream and stop the server."""
        self.died.set()
        for job in list(self._jobs_by_request_id.values()):
            job.end(EngineCrashed("the engine crashed"))
        self._batch.clear()
        self._queue.clear()
        self._jobs_by_request_id.clear()
        self.cache.clear()
        self._record_load()
        if self._batch_task is not None:
            self._batch_task.cancel()
            self._batch_task = None
        if self._on_crash is not None:
            self._on_crash()

    def restart(self) -> None:
        """Restart after a crash, without faults."""
        self.died.clear()
        self.fault = Fault.NONE

    async def generate(self, work: Work) -> AsyncGenerator[bytes, None]:
        """Yield the tokens of a completion as they are generated.

        The generator ends early if the request is cancelled.

        :raises EngineCrashed: if the engine crashes
        :raises EngineFailed: if the fault is ``ERRORS``
        """
        if self.died.is_set():
            raise EngineCrashed("the engine has crashed")
        if self.fault is Fault.ERRORS:
            raise EngineFailed("internal error")
        job = _Job(work)
        self._jobs_by_request_id[work.request_id] = job
        self._enqueue(job)
        sent = work.resume_offset
        try:
            while True:
                while sent < job.tokens_produced:
                    yield make_token(work.prompt, sent)
                    sent += 1
                if job.error is not None:
                    raise job.error
                if job.ended:
                    return
                job.changed.clear()
                await job.changed.wait()
        finally:
            self._remove(job)

    def _enqueue(self, job: _Job) -> None:
        if self.fault is Fault.SILENT:
            return
        entry = (job.work.rank, next(self._arrival_numbers), job)
        heapq.heappush(self._queue, entry)
        if len(self._batch) < self.settings.slots:
            self._batch_changed.set()
        self._record_load()
        if self._batch_task is None:
            self._batch_task = asyncio.create_task(self._run_batches())

    def _remove(self, job: _Job) -> None:
        job.end(job.error)
        if self._jobs_by_request_id.get(job.work.request_id) is job:
            del self._jobs_by_request_id[job.work.request_id]
        if job in self._batch:
            self._batch.remove(job)
            self._batch_changed.set()
            self._record_load()

    async def _run_batches(self) -> None:
        while self._batch or self._queue:
            self._fill_batch()
            while self.fault is Fault.HANG:
                await self.clock.sleep(_HANG_POLL_SECONDS)
            if not self._batch:
                continue
            prefill_tokens = self._plan_prefill()
            if prefill_tokens:
                await self.clock.sleep(self._step_seconds(prefill_tokens))
                self._record_busy_time(self._step_seconds(prefill_tokens))
                self._finish_step(1, prefill_tokens)
                continue
            steps, seconds = await self._sleep_decode_steps()
            self._record_busy_time(seconds)
            self._finish_step(steps, {})
        self._batch_task = None

    async def _sleep_decode_steps(self) -> tuple[int, float]:
        """Sleep for a run of decode steps, until the first sequence ends.

        A change of the batch ends the run at the next step boundary.

        :returns: the number of steps and their duration in seconds
        """
        step = self._step_seconds({})
        left = min(
            job.work.max_tokens - job.tokens_produced for job in self._batch
        )
        steps = max(1, min(left, self.settings.steps_at_once))
        if steps == 1:
            await self.clock.sleep(step)
            return 1, step
        self._batch_changed.clear()
        began = self.clock.monotonic()
        try:
            async with asyncio.timeout(steps * step):
                await self._batch_changed.wait()
        except TimeoutError:
            return steps, steps * step
        elapsed = self.clock.monotonic() - began
        steps = min(steps, int(elapsed / step) + 1)
        await self.clock.sleep(max(0.0, steps * step - elapsed))
        return steps, steps * step

    def _fill_batch(self) -> None:
        while self._queue and len(self._batch) < self.settings.slots:
            _, _, job = heapq.heappop(self._queue)
            if job.ended:
                continue
            poison = self.settings.poison
            if poison is not None and poison in job.work.prompt:
                asyncio.get_running_loop().call_soon(self.crash)
            hit = self.cache.match(job.work.prefix_hashes)
            tokens = job.work.prompt_tokens - hit * BLOCK_TOKENS
            job.prefill_tokens_left = max(1, tokens)
            self._batch.append(job)
        self._record_load()

    def _plan_prefill(self) -> dict[_Job, int]:
        budget = self.settings.prefill_chunk
        prefill_tokens: dict[_Job, int] = {}
        for job in self._batch:
            if job.prefill_tokens_left and budget:
                prefill_tokens[job] = min(budget, job.prefill_tokens_left)
                budget -= prefill_tokens[job]
        return prefill_tokens

    def _step_seconds(self, prefill_tokens: dict[_Job, int]) -> float:
        settings = self.settings
        decoding = sum(not job.prefill_tokens_left for job in self._batch)
        seconds = settings.prefill_seconds * sum(prefill_tokens.values())
        if decoding:
            seconds += settings.token_seconds
            seconds += settings.sequence_seconds * decoding
        if self.fault is Fault.SLOW:
            seconds *= _SLOW_FACTOR
        return seconds

    def _finish_step(
        self, steps: int, prefill_tokens: dict[_Job, int]
    ) -> None:
        for job in list(self._batch):
            if job.prefill_tokens_left:
                job.prefill_tokens_left -= prefill_tokens.get(job, 0)
                if job.prefill_tokens_left:
                    continue
                self.cache.store(job.work.prefix_hashes)
                job.tokens_produced += 1
            else:
                job.tokens_produced += steps
            job.changed.set()
            if job.tokens_produced >= job.work.max_tokens:
                job.tokens_produced = job.work.max_tokens
                self.completed += 1
                self._remove(job)

    def _record_busy_time(self, seconds: float) -> None:
        self.busy_seconds += seconds
        self.slot_seconds += seconds * len(self._batch)

    def _record_load(self) -> None:
        now = self.clock.monotonic()
        self._load_history.append((now, self.running, self.waiting))
        # No report reads entries older than report_lag seconds.
        limit = now - self.settings.report_lag
        while (
            len(self._load_history) > 1 and self._load_history[1][0] <= limit
        ):
            self._load_history.popleft()
