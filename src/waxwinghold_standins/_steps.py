"""Runs the steps of one engine, or of ranks in lock-step."""

import asyncio
import collections
from dataclasses import dataclass

from waxwinghold._clock import MS_PER_SECOND

RECORDS_LIMIT_COUNT = 100_000
STALL_DETECTION_FACTOR = 10
STALL_DETECTION_MIN_MS = 200


@dataclass(frozen=True, kw_only=True)
class StepRecord:
    """The expert map that each rank used in one step.

    Args:
        step: Number of the step.
        map_ids: Id of the map of each rank.
    """

    step: int
    map_ids: tuple[str, ...]

    @property
    def is_mixed(self):
        """Whether the ranks used more than one map."""
        return len(set(self.map_ids)) > 1


class StepRunner:
    """Runs steps; a step begins only when every rank may take part in it.

    Args:
        ranks: The ``Rank`` objects. An item may be ``None`` while its rank is down;
            no step begins then.
        clock: Clock of the steps.
        steps_when_idle: Whether steps also run without work.

    Attributes:
        step: Number of the last step that was completed.
        records: ``StepRecord`` of each step that was begun, the latest last; at most
            ``RECORDS_LIMIT_COUNT``. A step that is run again has another record.
    """

    def __init__(self, *, ranks, clock, steps_when_idle=False):
        self.ranks = list(ranks)
        self.step = 0
        self.records = collections.deque(maxlen=RECORDS_LIMIT_COUNT)
        self.steps_when_idle = steps_when_idle
        self._clock = clock
        self._changed = asyncio.Event()
        self._task = None
        self._step_end_ms = 0.0
        self._last_progress_ms = clock.now_ms()

    def start(self):
        """Start running steps; does nothing if they are running already."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Stop running steps."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def remove(self, rank):
        """Remove a rank that went down; no step begins until it is replaced."""
        self.ranks = [None if item is rank else item for item in self.ranks]

    def replace(self, index, rank):
        """Replace a removed rank.

        Args:
            index: Index of the rank in ``ranks``.
            rank: The new ``Rank``.
        """
        rank.joined_step = self.step
        # Tells the new rank the number of the next step.
        rank.close_step(self.step + 1)
        self.ranks[index] = rank
        self.wake()

    def wake(self):
        """Check again whether a step may run, after new work, an order or a fault."""
        self._changed.set()

    @property
    def is_step_needed(self):
        """Whether a rank has work or a pending map change, or steps run when idle."""
        return self.steps_when_idle or any(
            rank is not None and rank.needs_steps for rank in self.ranks
        )

    def is_running(self):
        """Return whether steps make progress, or no step is needed.

        Steps make no progress if none was completed for ``STALL_DETECTION_FACTOR``
        step durations of the slowest rank, and for at least
        ``STALL_DETECTION_MIN_MS``. Time in which no step is needed does not count.
        """
        if not self.is_step_needed:
            return True
        slowest_ms = max(
            (rank.duration_ms() for rank in self.ranks if rank), default=0.0
        )
        limit_ms = max(STALL_DETECTION_MIN_MS, STALL_DETECTION_FACTOR * slowest_ms)
        return self._clock.now_ms() - self._last_progress_ms < limit_ms

    async def _run(self):
        while True:
            await self._wait_for_next_step()
            step_ranks = list(self.ranks)
            duration_ms = self._begin()
            await self._sleep(duration_ms)
            await self._wait_until(lambda: self._may_end(step_ranks))
            if self.ranks == step_ranks:
                self._complete(duration_ms)
            self._close()

    async def _wait_for_next_step(self):
        if not self.is_step_needed:
            await self._wait_until(lambda: self.is_step_needed)
            self._last_progress_ms = self._clock.now_ms()
        await self._wait_until(self._may_step)

    async def _wait_until(self, condition):
        while not condition():
            self._changed.clear()
            await self._changed.wait()

    def _may_step(self):
        step = self.step + 1
        return self.is_step_needed and all(
            rank is not None and rank.may_step(step) for rank in self.ranks
        )

    def _may_end(self, step_ranks):
        """Return whether the current step may end.

        If a rank went down during the step, the step ends at once without effect and
        is run again.

        Args:
            step_ranks: The ranks that began the step.
        """
        is_rank_lost = self.ranks != step_ranks
        return is_rank_lost or not any(rank.faults.stalled for rank in self.ranks)

    def _begin(self):
        """Begin the next step on every rank and return its duration in ms."""
        step = self.step + 1
        map_ids = tuple(rank.begin_step(step) for rank in self.ranks)
        self.records.append(StepRecord(step=step, map_ids=map_ids))
        return max(rank.duration_ms() for rank in self.ranks)

    async def _sleep(self, duration_ms):
        """Sleep until the time of the step is over.

        That time starts where the time of the previous step ended, if this was less
        than one step ago, so that late wake-ups do not accumulate.
        """
        now_ms = self._clock.now_ms()
        start_ms = (
            self._step_end_ms if now_ms - self._step_end_ms < duration_ms else now_ms
        )
        self._step_end_ms = start_ms + duration_ms
        await asyncio.sleep(max(self._step_end_ms - now_ms, 0) / MS_PER_SECOND)

    def _complete(self, duration_ms):
        """Complete the current step on every rank."""
        self.step += 1
        self._last_progress_ms = self._clock.now_ms()
        for rank in self.ranks:
            rank.complete_step(duration_ms)

    def _close(self):
        """Close the current step on every rank, whether it was completed or not."""
        for rank in self.ranks:
            if rank is not None:
                rank.close_step(self.step + 1)
