"""Steps of one engine, or of ranks that advance in lock-step."""

import asyncio
import collections
from dataclasses import dataclass

from waxwinghold._clock import MS_PER_SECOND

STEPS_LIMIT_COUNT = 100_000
STALL_NOTICE_FACTOR = 10
STALL_NOTICE_MIN_MS = 200


@dataclass(frozen=True, kw_only=True)
class StepRecord:
    """The expert map that each rank used in one step."""

    step: int
    map_ids: tuple[str, ...]

    @property
    def is_mixed(self):
        """Whether the ranks used more than one map."""
        return len(set(self.map_ids)) > 1


class StepRunner:
    """Runs steps, each only once every rank may take part in it.

    Args:
        ranks: The ranks; a place may be ``None`` while its rank is down, and
            no step runs then.
        clock: Tells the time.
        steps_when_idle: Whether steps go on without work.
    """

    def __init__(self, *, ranks, clock, steps_when_idle=False):
        self.ranks = list(ranks)
        self.step = 0
        self.records = collections.deque(maxlen=STEPS_LIMIT_COUNT)
        self.steps_when_idle = steps_when_idle
        self._clock = clock
        self._changed = asyncio.Event()
        self._task = None
        self._due_ms = 0.0
        self._advanced_ms = clock.now_ms()

    def start(self):
        """Begin to run steps; does nothing if they run already."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Run no further step."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def remove(self, rank):
        """Take out a rank that went down; no step runs until it is replaced."""
        self.ranks = [None if item is rank else item for item in self.ranks]

    def replace(self, index, rank):
        """Put a fresh rank in the place of a lost one."""
        rank.joined_step = self.step
        rank.close_step(self.step + 1)
        self.ranks[index] = rank
        self.wake()

    def wake(self):
        """Look again at what may run: work, an order or a fault came."""
        self._changed.set()

    @property
    def is_step_needed(self):
        """Whether there is a reason to step."""
        return self.steps_when_idle or any(
            rank is not None and rank.needs_steps for rank in self.ranks
        )

    def is_running(self):
        """Return whether steps go on, or none are wanted."""
        if not self.is_step_needed:
            return True
        slowest_ms = max((r.duration_ms() for r in self.ranks if r), default=0.0)
        limit_ms = max(STALL_NOTICE_MIN_MS, STALL_NOTICE_FACTOR * slowest_ms)
        return self._clock.now_ms() - self._advanced_ms < limit_ms

    async def _run(self):
        while True:
            await self._until_next()
            begun_by = list(self.ranks)
            duration_ms = self._begin()
            await self._sleep(duration_ms)
            await self._until(lambda: self._may_end(begun_by))
            if self.ranks == begun_by:
                self._end(duration_ms)
            self._close()

    async def _until_next(self):
        if not self.is_step_needed:
            await self._until(lambda: self.is_step_needed)
            self._advanced_ms = self._clock.now_ms()
        await self._until(self._may_step)

    async def _until(self, condition):
        while not condition():
            self._changed.clear()
            await self._changed.wait()

    def _may_step(self):
        step = self.step + 1
        return self.is_step_needed and all(
            rank is not None and rank.may_step(step) for rank in self.ranks
        )

    def _may_end(self, begun_by):
        """A step that lost a rank ends without effect and is run again."""
        lost = self.ranks != begun_by
        return lost or not any(rank.faults.stalled for rank in self.ranks)

    def _begin(self):
        step = self.step + 1
        map_ids = tuple(rank.begin_step(step) for rank in self.ranks)
        self.records.append(StepRecord(step=step, map_ids=map_ids))
        return max(rank.duration_ms() for rank in self.ranks)

    async def _sleep(self, duration_ms):
        """Sleep until the step is due, without drift from late wake-ups."""
        now_ms = self._clock.now_ms()
        begun_ms = self._due_ms if now_ms - self._due_ms < duration_ms else now_ms
        self._due_ms = begun_ms + duration_ms
        await asyncio.sleep(max(self._due_ms - now_ms, 0) / MS_PER_SECOND)

    def _end(self, duration_ms):
        self.step += 1
        self._advanced_ms = self._clock.now_ms()
        for rank in self.ranks:
            rank.end_step(duration_ms)

    def _close(self):
        for rank in self.ranks:
            if rank is not None:
                rank.close_step(self.step + 1)
