"""The state of one engine: its batch, queue, model, cache and expert maps."""

import math

from ._experts import ExpertDemand
from ._faults import TargetFaults
from ._generation import GenerationState, WaitingQueue
from ._load import LoadHistory
from ._maps import INITIAL_MAP, ExpertMaps
from ._prefixes import CacheEvents, PrefixCache
from ._tokens import PREFIX_BYTES, prefix_digest

GENERATION_RETENTION_MS = 30_000
KV_BYTES_PER_TOKEN = 1024


class Rank:
    """The state of one engine, which a ``StepRunner`` advances step by step.

    Args:
        clock: Clock of the rank.
        version: The model version at the start.
        adapters: Adapters loaded at the start.
        role: The engine's role at the start.
        slots_count: Number of generations that can run at once.
        step_ms: Duration of a step without running generations.
        step_per_request_ms: Additional duration of a step for each running
            generation.
        prefill_ms: Duration of the prefill for each 256 bytes of prompt; a cached
            prefix takes no time.
        prefixes_limit_count: Number of prefixes that fit into the cache.
        events_lag_ms: Delay until cache events become visible.
        events_gap_every_count: One of this many cache events is lost; with 0 none
            is lost.
        load_lag_ms: Age of the load that reports show.
        map_id: Id of the expert map at the start, or ``NO_MAP``.
        experts: Options of ``ExpertDemand``, as a dict.

    Attributes:
        joined_step: Last step that the group had completed when this rank joined it.
        generations: Recent generations by request id.
        running: The generations that run.
        waiting: The ``WaitingQueue``.
    """

    def __init__(
        self,
        *,
        clock,
        version="v1",
        adapters=(),
        role="serving",
        slots_count=8,
        step_ms=20.0,
        step_per_request_ms=0.0,
        prefill_ms=0.0,
        prefixes_limit_count=64,
        events_lag_ms=0.0,
        events_gap_every_count=0,
        load_lag_ms=0.0,
        map_id=INITIAL_MAP,
        experts=None,
    ):
        self.version = version
        self.adapters = set(adapters)
        self.role = role
        self.slots_count = slots_count
        self.step_ms = step_ms
        self.step_per_request_ms = step_per_request_ms
        self.prefill_ms = prefill_ms
        self.faults = TargetFaults()
        self.maps = ExpertMaps(map_id=map_id)
        self.experts = ExpertDemand(**experts or {})
        self.joined_step = 0
        self.cache_events = CacheEvents(
            clock=clock, lag_ms=events_lag_ms, gap_every_count=events_gap_every_count
        )
        self.prefixes = PrefixCache(
            events=self.cache_events, limit_count=prefixes_limit_count
        )
        self.load = LoadHistory(clock=clock, lag_ms=load_lag_ms)
        self.generations = {}
        self.running = []
        self.waiting = WaitingQueue()
        self._clock = clock
        self.record_load()

    @property
    def has_work(self):
        """Whether a generation runs or waits."""
        return bool(self.running) or len(self.waiting) > 0

    @property
    def needs_steps(self):
        """Whether there is work or a pending map change."""
        return self.has_work or self.maps.has_pending_change

    def may_step(self, step):
        """Return whether this rank may take part in ``step``."""
        return not self.faults.stalled and self.maps.may_begin_step(step)

    def add(self, generation):
        """Queue a generation; one that needs no further token ends at once."""
        self._forget_old()
        self.generations[generation.request_id] = generation
        if generation.is_complete:
            generation.finish(GenerationState.ENDED, self._clock.now_ms())
            return
        self.waiting.add(generation)
        self.record_load()

    def cancel(self, generation):
        """Stop a generation and free its slot."""
        if generation.is_over:
            return
        generation.finish(GenerationState.CANCELLED, self._clock.now_ms())
        self.running = [item for item in self.running if not item.is_over]
        self.record_load()

    def begin_step(self, step):
        """Fill free slots and return the id of the expert map that ``step`` uses."""
        while len(self.running) < self.slots_count:
            generation = self.waiting.pop()
            if generation is None:
                break
            generation.begin(
                version=self.version, prefill_ms=self._start_prefill(generation)
            )
            self.running.append(generation)
        self.record_load()
        return self.maps.begin_step(step)

    def duration_ms(self):
        """Return the duration in ms of a step with the current batch."""
        if self.faults.step_ms is not None:
            return self.faults.step_ms
        return self.step_ms + self.step_per_request_ms * len(self.running)

    def complete_step(self, duration_ms):
        """Advance each running generation by one step.

        Args:
            duration_ms: Duration of the step.
        """
        self.experts.add_step(len(self.running))
        for generation in self.running:
            generation.advance(duration_ms)
            if generation.is_complete:
                generation.finish(GenerationState.ENDED, self._clock.now_ms())
        self.running = [item for item in self.running if not item.is_over]
        self.record_load()

    def close_step(self, next_step):
        """Close the current step, whether it was completed or not.

        Args:
            next_step: Number of the next step; the same number again if the current
                step was not completed.
        """
        self.maps.close_step(next_step)

    def record_load(self):
        """Record the current load for later load reports."""
        if self.faults.load_lag_ms is not None:
            self.load.lag_ms = self.faults.load_lag_ms
        tokens_count = sum(len(item.tokens) for item in self.running)
        self.load.add(
            waiting_count=len(self.waiting),
            running_count=len(self.running),
            slots_count=self.slots_count,
            step_ms=self.duration_ms(),
            kv_used_bytes=self.prefixes.used_bytes + tokens_count * KV_BYTES_PER_TOKEN,
        )

    def _start_prefill(self, generation):
        """Cache the prompt's prefix and return the duration of the prefill in ms."""
        blocks_count = math.ceil(len(generation.prompt.encode()) / PREFIX_BYTES)
        if self.prefixes.use(prefix_digest(generation.prompt)):
            blocks_count -= 1
        return max(blocks_count, 0) * self.prefill_ms

    def _forget_old(self):
        """Forget the generations that ended over ``GENERATION_RETENTION_MS`` ago."""
        until_ms = self._clock.now_ms() - GENERATION_RETENTION_MS
        expired = [
            request_id
            for request_id, generation in self.generations.items()
            if generation.is_over and generation.ended_ms < until_ms
        ]
        for request_id in expired:
            del self.generations[request_id]
