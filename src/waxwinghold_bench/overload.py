"""Simulates an overload with a baseline and with waxwinghold's handling.

Run it with ``python -m waxwinghold_bench.overload``.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import fire

from waxwinghold._agent.queueing import QUEUE_POLICIES, QueuedRequest
from waxwinghold._errors import OverloadedError
from waxwinghold._policy import DeadlineAdmission, RetryAfterSchedule, RetryBudget
from waxwinghold._tool.reports import text_table

TARGETS_COUNT = 16
SLOTS_COUNT = 16
ENTRIES_COUNT = 8
SERVICE_MEAN_MS = 1200.0
DEADLINE_MS = 5000.0
OVERLOAD_START_MS = 20_000.0
OVERLOAD_END_MS = 50_000.0
END_MS = 90_000.0
BASE_LOAD_RATIO = 0.7
OVERLOAD_RATIO = 2.0
RETRY_RATIO = 0.1
# A request that has waited this long is queued at another target.
RETRY_AFTER_WAIT_MS = 2000.0
# Delay of the retry of a rejected caller if the handling does not spread retries.
DEFAULT_RETRY_AFTER_MS = 1000.0
CALLER_RETRIES_LIMIT_COUNT = 3
QUEUE_LIMIT_COUNT = 1024
REPORT_INTERVAL_MS = 1000.0
SECOND_MS = 1000.0
RECOVERED_WAIT_MS = 500.0
SHOWN_SECONDS = (15, 35, 51, 55, 60, 70, 80)
CAPACITY_PER_SECOND = TARGETS_COUNT * SLOTS_COUNT * SECOND_MS / SERVICE_MEAN_MS


@dataclass(frozen=True, kw_only=True)
class OverloadHandling:
    """Selects how requests are rejected and retried.

    Args:
        name: Name in the table.
        rejects_late: Whether entries reject requests that would miss their
            deadline.
        limits_retries: Whether a retry budget limits retries. Without it, the
            earlier copy of a retried request also stays in its queue.
        spreads_retry_after: Whether rejected callers get different times for
            their retry.
        queue: Name of the queue policy of the agents.
    """

    name: str
    rejects_late: bool
    limits_retries: bool
    spreads_retry_after: bool
    queue: str


BASELINE = OverloadHandling(
    name="baseline",
    rejects_late=False,
    limits_retries=False,
    spreads_retry_after=False,
    queue="fifo",
)
PRODUCT = OverloadHandling(
    name="waxwinghold",
    rejects_late=True,
    limits_retries=True,
    spreads_retry_after=True,
    queue="fair",
)


@dataclass(kw_only=True)
class OverloadResult:
    """Results by second of the simulation.

    Attributes:
        on_time_counts: Requests that ended before their deadline, by the second in
            which they ended.
        waits_ms: Waits in milliseconds of the requests that started in each
            second.
    """

    on_time_counts: Counter
    waits_ms: dict

    def goodput_ratio(self, start_ms, end_ms):
        """Return the rate of the on-time requests, relative to the capacity."""
        seconds = range(int(start_ms / SECOND_MS), int(end_ms / SECOND_MS))
        answers_count = sum(self.on_time_counts[second] for second in seconds)
        return answers_count / len(seconds) / CAPACITY_PER_SECOND

    def wait_p95_ms(self, second):
        """Return the 95th percentile of the waits that ended in ``second``, or 0."""
        waits = sorted(self.waits_ms.get(second, ()))
        return waits[int(len(waits) * 0.95)] if waits else 0.0

    def recovery_ms(self, *, limit_ms):
        """Return how long waits exceed a limit after the end of the overload.

        Args:
            limit_ms: Limit in milliseconds of the 95th percentile of the waits
                that end in one second.

        Returns:
            The time in milliseconds until the end of the last second above the
            limit, or 0 if there is none.
        """
        start_second = int(OVERLOAD_END_MS / SECOND_MS)
        slow_seconds = [
            second
            for second in range(start_second, int(END_MS / SECOND_MS))
            if self.wait_p95_ms(second) > limit_ms
        ]
        return (
            (max(slow_seconds) + 1 - start_second) * SECOND_MS if slow_seconds else 0.0
        )


@dataclass(kw_only=True, eq=False)
class _Job:
    """A request of a caller; several targets can queue a copy of it.

    Its state is ``waiting``, ``running``, ``ended`` or ``rejected``.
    """

    arrived_ms: float
    service_ms: float
    priority: int
    customer: str
    retries_count: int = 0
    state: str = "waiting"


class Overload:
    """One simulation of an overload.

    Args:
        handling: The ``OverloadHandling``.
        seed: Seed of all random numbers.

    Attributes:
        result: The ``OverloadResult`` so far.
    """

    def __init__(self, *, handling, seed):
        self._handling = handling
        self._rng = random.Random(f"overload {seed}")
        self._events = []
        self._sequence = itertools.count()
        self._now_ms = 0.0
        self._queues = [
            QUEUE_POLICIES[handling.queue](limit_count=QUEUE_LIMIT_COUNT)
            for _ in range(TARGETS_COUNT)
        ]
        self._running = [0] * TARGETS_COUNT
        self._reported_waiting = [0] * TARGETS_COUNT
        self._admission = DeadlineAdmission()
        self._budgets = [RetryBudget(ratio=RETRY_RATIO) for _ in range(ENTRIES_COUNT)]
        self._retry_after_schedules = [
            RetryAfterSchedule(rng=random.Random(f"returns {seed} {number}"))
            for number in range(ENTRIES_COUNT)
        ]
        self.result = OverloadResult(on_time_counts=Counter(), waits_ms={})

    def run(self):
        """Run the simulation and return its ``OverloadResult``."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._report)
        while self._events:
            self._now_ms, _, action, arguments = heapq.heappop(self._events)
            if self._now_ms >= END_MS:
                break
            action(*arguments)
        return self.result

    def _schedule(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._sequence), action, arguments))

    def _arrive(self):
        overloaded = OVERLOAD_START_MS <= self._now_ms < OVERLOAD_END_MS
        ratio = OVERLOAD_RATIO if overloaded else BASE_LOAD_RATIO
        rate = CAPACITY_PER_SECOND * ratio / SECOND_MS
        self._schedule(self._now_ms + self._rng.expovariate(rate), self._arrive)
        self._call(
            _Job(
                arrived_ms=self._now_ms,
                service_ms=self._rng.expovariate(1 / SERVICE_MEAN_MS),
                priority=self._rng.choice((0, 1, 1, 2)),
                customer=f"customer-{self._rng.randrange(10)}",
            )
        )

    def _report(self):
        self._reported_waiting = [len(queue) for queue in self._queues]
        self._schedule(self._now_ms + REPORT_INTERVAL_MS, self._report)

    def _call(self, job):
        entry = self._rng.randrange(ENTRIES_COUNT)
        target = self._rng.randrange(TARGETS_COUNT)
        self._budgets[entry].record_first(now_ms=self._now_ms)
        if self._handling.rejects_late and not self._admits(job, target):
            self._reject(job, entry)
            return
        self._enqueue(job, entry, target)

    def _admits(self, job, target):
        wait_ms = self._reported_waiting[target] * SERVICE_MEAN_MS / SLOTS_COUNT
        return self._admission.admits(
            wait_ms=wait_ms, deadline_in_ms=DEADLINE_MS, priority=job.priority
        )

    def _enqueue(self, job, entry, target):
        item = QueuedRequest(
            request_id=str(next(self._sequence)),
            customer=job.customer,
            deadline_ms=job.arrived_ms + DEADLINE_MS,
            queued_ms=self._now_ms,
            priority=job.priority,
            payload=(job, entry),
        )
        try:
            evicted = self._queues[target].put(item)
        except OverloadedError:
            self._reject(job, entry)
            return
        if evicted is not None:
            self._reject(*evicted.payload)
        self._schedule(
            self._now_ms + RETRY_AFTER_WAIT_MS, self._retry, job, entry, item, target
        )
        self._start_queued(target)

    def _retry(self, job, entry, item, target):
        """Queue a waiting job again, at a random target.

        With ``limits_retries``, the earlier copy is removed; otherwise it stays.
        """
        if job.state != "waiting" or job.arrived_ms + DEADLINE_MS <= self._now_ms:
            return
        if self._handling.limits_retries:
            if not self._budgets[entry].take_retry(now_ms=self._now_ms):
                return
            if self._queues[target].remove(item.request_id) is None:
                return
        self._enqueue(job, entry, self._rng.randrange(TARGETS_COUNT))

    def _start_queued(self, target):
        queue = self._queues[target]
        while self._running[target] < SLOTS_COUNT:
            item = queue.take(self._now_ms)
            if item is None:
                break
            self._start(item, target)
        for item in queue.expired(self._now_ms):
            job, entry = item.payload
            if job.state == "waiting":
                self._reject(job, entry)

    def _start(self, item, target):
        job, entry = item.payload
        if job.state == "rejected":
            return
        if job.state == "waiting":
            waits = self.result.waits_ms.setdefault(int(self._now_ms / SECOND_MS), [])
            waits.append(self._now_ms - job.arrived_ms)
            job.state = "running"
        self._running[target] += 1
        self._schedule(self._now_ms + job.service_ms, self._end, job, entry, target)

    def _end(self, job, entry, target):
        self._running[target] -= 1
        if job.state == "running":
            job.state = "ended"
            if self._now_ms <= job.arrived_ms + DEADLINE_MS:
                self.result.on_time_counts[int(self._now_ms / SECOND_MS)] += 1
            self._retry_after_schedules[entry].record_completed(now_ms=self._now_ms)
        self._start_queued(target)

    def _reject(self, job, entry):
        """Reject a job; its caller retries after the given time, within a limit."""
        job.state = "rejected"
        if job.retries_count >= CALLER_RETRIES_LIMIT_COUNT:
            return
        after_ms = DEFAULT_RETRY_AFTER_MS
        if self._handling.spreads_retry_after:
            after_ms = self._retry_after_schedules[entry].retry_after_ms(
                now_ms=self._now_ms
            )
        retry = _Job(
            arrived_ms=self._now_ms + after_ms,
            service_ms=job.service_ms,
            priority=job.priority,
            customer=job.customer,
            retries_count=job.retries_count + 1,
        )
        self._schedule(retry.arrived_ms, self._call, retry)


def main(*, seeds_count=3):
    """Print goodput and recovery time of the baseline and of waxwinghold.

    Args:
        seeds_count: Number of seeds for each handling.
    """
    rows = []
    for handling in (BASELINE, PRODUCT):
        for seed in range(seeds_count):
            result = Overload(handling=handling, seed=seed).run()
            goodput = result.goodput_ratio(OVERLOAD_START_MS, OVERLOAD_END_MS)
            recovery_ms = result.recovery_ms(limit_ms=RECOVERED_WAIT_MS)
            waits = [f"{result.wait_p95_ms(second):.0f}" for second in SHOWN_SECONDS]
            recovery = f"{recovery_ms / SECOND_MS:.0f}"
            rows.append((handling.name, seed, f"{goodput:.3f}", recovery, *waits))
    waits = [f"p95 wait ms at {second} s" for second in SHOWN_SECONDS]
    headers = ("handling", "seed", "goodput/capacity", "recovery s", *waits)
    print(text_table(headers, rows))


if __name__ == "__main__":
    fire.Fire(main)
