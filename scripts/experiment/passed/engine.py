"""A simulated inference engine with continuous batching.

Requests are admitted by rank while slots and memory are free. Prefill runs in
chunks within the decode steps, the most urgent prompt first. Prompt parts stay
in a prefix cache with least-recently-used eviction.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from burdockdrum.passthrough.state import Prompt
from scripts.experiment.passed.schedule import Schedule
from scripts.experiment.passed.shapes import Shape


@dataclass(kw_only=True, eq=False)
class Job:
    """One request at an engine.

    ``on_output`` is called for every event, ``on_end`` with whether the
    response was complete. A prefix fetched from ``fetch_from`` takes
    ``fetch_delay`` seconds in addition to its transfer.
    """

    prompt: Prompt
    rank: int
    output_tokens: int
    fetch_from: "SimulatedEngine | None"
    fetch_delay: float = 0.0
    on_output: Callable[[], None]
    on_end: Callable[[bool], None]
    prefill_tokens_left: int = 0
    context_tokens: int = 0
    generated_tokens: int = 0
    ready_at: float = 0.0
    order: int = 0
    memory: int = 0
    is_cancelled: bool = field(default=False)

    @property
    def is_prefilling(self) -> bool:
        """Return whether the job has not generated a token yet."""
        return self.prefill_tokens_left > 0 or self.generated_tokens == 0


class SimulatedEngine:
    """One engine; ``crash`` stops it for good."""

    def __init__(
        self,
        *,
        endpoint_id: str,
        shape: Shape,
        schedule: Schedule,
        speed: float = 1.0,
    ) -> None:
        """Create an idle engine with an empty cache.

        :param speed: how much faster than its profile it is
        """
        self._speed = speed
        self.endpoint_id = endpoint_id
        self.shape = shape
        self.is_dead = False
        self.tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.prefilled_tokens = 0
        self.events = 0
        self._schedule = schedule
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._running: list[Job] = []
        self._link_free_at = 0.0
        self._is_stepping = False

    def submit(self, job: Job) -> None:
        """Enqueue a request; a crashed engine fails it at once."""
        if self.is_dead:
            job.on_end(False)
            return
        job.order = next(self._order)
        heapq.heappush(self._queue, (job.rank, job.order, job))
        self._wake()

    def crash(self) -> None:
        """Crash: fail all requests and drop the cache."""
        self.is_dead = True
        jobs = self._running + [job for *_, job in self._queue]
        self._running, self._queue = [], []
        self.tokens_by_part.clear()
        for job in jobs:
            job.on_end(False)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the length of the cached prefix of a prompt."""
        total = 0
        for part in prompt.parts:
            tokens = self.tokens_by_part.get(part.part_id, 0)
            if tokens < part.tokens:
                break
            total += tokens
        return total

    def _wake(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._schedule.after(0.0, self._step)

    def _step(self) -> None:
        if self.is_dead:
            return
        self._running = [j for j in self._running if not j.is_cancelled]
        self._admit()
        if not self._running:
            self._is_stepping = False
            return
        now = self._schedule.now
        prefilling = [j for j in self._running if j.is_prefilling]
        ready = [j for j in prefilling if j.ready_at <= now]
        decoding = [j for j in self._running if not j.is_prefilling]
        if ready:
            self._prefill(ready, decoding)
        elif decoding:
            self._decode(decoding, prefilling)
        else:
            self._schedule.at(min(j.ready_at for j in prefilling), self._step)

    def _prefill(self, ready: list[Job], decoding: list[Job]) -> None:
        shape = self.shape
        left, seconds, done = shape.chunk_tokens, self._step_seconds(), []
        for job in sorted(ready, key=lambda j: (j.rank, j.order)):
            tokens = min(left, job.prefill_tokens_left)
            pairs = tokens * (job.context_tokens + tokens / 2)
            seconds += tokens * shape.token_seconds
            seconds += pairs * shape.pair_seconds
            job.prefill_tokens_left -= tokens
            job.context_tokens += tokens
            self.prefilled_tokens += tokens
            left -= tokens
            if not job.prefill_tokens_left:
                done.append(job)
            if not left:
                break

        def finish() -> None:
            for job in done:
                self._cache_prompt(job.prompt)
            self._emit_tokens(decoding + done, 1)
            self._step()

        self._schedule.after(seconds * self._slowness(), finish)

    def _step_seconds(self) -> float:
        shape = self.shape
        return shape.step_seconds + shape.slot_seconds * len(self._running)

    def _slowness(self) -> float:
        """Return the factor of a step's time, which changes at intervals."""
        shape = self.shape
        interval = int(self._schedule.now / shape.pause_interval)
        is_slow = (
            shape.pause_fraction > 0
            and random.Random(f"{self.endpoint_id} {interval}").random()
            < shape.pause_fraction
        )
        return (shape.pause_factor if is_slow else 1.0) / self._speed

    def _decode(self, decoding: list[Job], prefilling: list[Job]) -> None:
        """Decode several steps at once, up to the next event."""
        stride = self.shape.tokens_an_event
        steps = min(
            min(stride, job.output_tokens - job.generated_tokens)
            for job in decoding
        )
        steps = 1 if prefilling else max(1, steps)

        def finish() -> None:
            self._emit_tokens(decoding, steps)
            self._step()

        seconds = steps * self._step_seconds() * self._slowness()
        self._schedule.after(seconds, finish)

    def _emit_tokens(self, jobs: list[Job], steps: int) -> None:
        stride = self.shape.tokens_an_event
        for job in jobs:
            if job.is_cancelled or self.is_dead:
                continue
            before = job.generated_tokens
            job.generated_tokens = min(job.output_tokens, before + steps)
            is_complete = job.generated_tokens >= job.output_tokens
            if (
                not before
                or is_complete
                or before // stride < (job.generated_tokens // stride)
            ):
                job.on_output()
            if is_complete:
                self._running.remove(job)
                job.on_end(True)

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.shape.slots:
            job = self._queue[0][2]
            if job.is_cancelled:
                heapq.heappop(self._queue)
                continue
            job.memory = job.prompt.tokens + job.output_tokens
            used = sum(running.memory for running in self._running)
            if self._running and used + job.memory > self.shape.memory_tokens:
                return
            heapq.heappop(self._queue)
            self._start(job)

    def _start(self, job: Job) -> None:
        cached = self.cached_tokens(job.prompt)
        self._mark_used(job.prompt)
        source = job.fetch_from
        job.ready_at = self._schedule.now
        if source is not None and not source.is_dead:
            fetched = source.cached_tokens(job.prompt) - cached
            if fetched > 0:
                cached += fetched
                job.ready_at = source.transfer(fetched) + job.fetch_delay
        cached = min(cached, job.prompt.tokens - 1)
        job.context_tokens = cached
        job.prefill_tokens_left = job.prompt.tokens - cached
        self._running.append(job)

    def transfer(self, tokens: int) -> float:
        """Send a cached prefix over the link; return its time of arrival."""
        start_at = max(self._schedule.now, self._link_free_at)
        self._link_free_at = start_at + tokens * self.shape.fetch_token_seconds
        return self._link_free_at

    def _mark_used(self, prompt: Prompt) -> None:
        for part in prompt.parts:
            if part.part_id in self.tokens_by_part:
                self.tokens_by_part.move_to_end(part.part_id)

    def _cache_prompt(self, prompt: Prompt) -> None:
        self.events += 1
        for part in prompt.parts:
            self.tokens_by_part[part.part_id] = part.tokens
            self.tokens_by_part.move_to_end(part.part_id)
        used = sum(job.memory for job in self._running)
        free_tokens = max(0, self.shape.memory_tokens - used)
        # Parts of running requests are part of their memory already.
        in_use = {p.part_id for j in self._running for p in j.prompt.parts}
        unused_tokens = sum(
            tokens
            for part_id, tokens in self.tokens_by_part.items()
            if part_id not in in_use
        )
        for part_id in list(self.tokens_by_part):
            if unused_tokens <= free_tokens:
                break
            if part_id not in in_use:
                unused_tokens -= self.tokens_by_part.pop(part_id)
