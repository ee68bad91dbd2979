"""Replays request traces through the real policies under a virtual clock.

The simulated entries choose targets with the choice policy under test, and the
simulated targets use the queue policies of the agents. Of the rest of a fleet,
only delays, retries, prefix caches and load reports are modelled.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict, deque
from dataclasses import dataclass, replace

from waxwinghold._agent.queueing import QUEUE_POLICIES, QueuedRequest
from waxwinghold._messages import Report
from waxwinghold._policy import Candidate, ChoiceRequest, RetryBudget, choice_policy

from .replay_result import ReplayResult, histogram, to_us
from .traces import request_trace

DATA_CENTRES = ("nadi", "lautoka", "sigatoka")
ENTRIES_COUNT = 8
TARGETS_COUNT = 16
SLOTS_COUNT = 16
STEP_MS = 20.0
SLOW_FACTOR = 3.0
# A step takes longer by this ratio when all slots are busy.
CONTENTION_RATIO = 0.3
PREFILL_MS = 50.0
CACHED_PREFIXES_COUNT = 24
REPORTED_PREFIXES_COUNT = 8
# Share of the newly cached prefixes that are missing from reports.
LOST_EVENTS_RATIO = 0.2
REPORT_INTERVAL_MS = 1000.0
REPORT_DELAY_MAX_MS = 1000.0
LATE_REPORT_MS = 4000.0
LINK_DELAY_MS = 0.1
REMOTE_LINK_DELAY_MS = 0.5
DEADLINE_MS = 20_000.0
# A request that has waited this long is sent to another target.
RETRY_AFTER_WAIT_MS = 3000.0
RETRY_RATIO = 0.1
QUEUE_LIMIT_COUNT = 10_000
PAUSE_START_RATIO = 0.4
PAUSE_MS = 5000.0


@dataclass(kw_only=True, eq=False)
class _Request:
    """The state of one request of the trace."""

    arrival: object
    entry: object
    target: str = ""
    tried: frozenset = frozenset()
    attempt: int = 0
    started: bool = False


class Replay:
    """One simulation of a scenario with one choice policy.

    Args:
        scenario: The ``Scenario``.
        policy: Name of the choice policy.
        seed: Seed of the trace and of all random numbers.
        duration_ms: Length of the trace.
        queue: Name of the queue policy of the agents.
        policy_arguments: Additional arguments of the choice policy.

    Attributes:
        now_ms: Time of the virtual clock.
        result: The ``ReplayResult`` so far.
        targets: The simulated targets by name.
        entries: The simulated entries.
    """

    def __init__(
        self,
        *,
        scenario,
        policy,
        seed,
        duration_ms=60_000.0,
        queue="fair",
        policy_arguments=None,
    ):
        self._rng = random.Random(f"replay {seed}")
        self._events = []
        self._sequence = itertools.count()
        self._scenario = scenario
        self._duration_ms = duration_ms
        self._seed = seed
        self.now_ms = 0.0
        self.result = ReplayResult(
            waits=histogram(),
            first_tokens=histogram(),
            busy_ms=Counter(),
            by_customer=defaultdict(lambda: (histogram(), histogram())),
        )
        self.targets = {
            target.name: target
            for target in (
                _Target(replay=self, number=number, queue=queue)
                for number in range(TARGETS_COUNT)
            )
        }
        self.entries = [
            _Entry(
                replay=self,
                number=number,
                policy=policy,
                seed=seed,
                arguments=policy_arguments or {},
            )
            for number in range(ENTRIES_COUNT)
        ]
        self._inject_faults()

    def schedule(self, at_ms, action, *arguments):
        """Schedule ``action`` at ``at_ms`` of the virtual clock."""
        heapq.heappush(self._events, (at_ms, next(self._sequence), action, arguments))

    def run(self):
        """Run the simulation and return its ``ReplayResult``."""
        for arrival in self._trace():
            self.schedule(arrival.at_ms, self._arrive, arrival)
        for target in self.targets.values():
            self.schedule(self._rng.uniform(0, REPORT_INTERVAL_MS), target.report)
        while self._events:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            if self.now_ms > self._duration_ms + DEADLINE_MS:
                break
            action(*arguments)
        return self.result

    def _trace(self):
        mean_ms = STEP_MS * (1 + CONTENTION_RATIO) * self._scenario.steps_mean_count
        capacity = TARGETS_COUNT * SLOTS_COUNT * 1000 / (mean_ms + PREFILL_MS)
        return request_trace(
            self._scenario,
            seed=self._seed,
            duration_ms=self._duration_ms,
            rate_per_second=capacity * self._scenario.load_ratio,
            data_centres=DATA_CENTRES,
        )

    def _arrive(self, arrival):
        entries = [
            item for item in self.entries if item.data_centre == arrival.data_centre
        ]
        entry = self._rng.choice(entries)
        entry.budget.record_first(now_ms=self.now_ms)
        entry.send(_Request(arrival=arrival, entry=entry))

    def _inject_faults(self):
        targets = list(self.targets.values())
        for target in targets[: self._scenario.slow_targets_count]:
            target.step_ms *= SLOW_FACTOR
        for target in targets[: self._scenario.late_targets_count]:
            target.report_delay_ms = LATE_REPORT_MS
        if self._scenario.pause:
            start_ms = self._duration_ms * PAUSE_START_RATIO
            for target in targets[::2]:
                self.schedule(start_ms, target.pause)
                self.schedule(start_ms + PAUSE_MS, target.resume)


class _Entry:
    """A simulated entry with its policy, retry budget and view of the targets.

    The view is based on delayed reports.
    """

    def __init__(self, *, replay, number, policy, seed, arguments):
        self._replay = replay
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        rng = random.Random(f"entry {seed} {number}")
        self._policy = choice_policy.make(policy, rng=rng, **arguments)
        self.budget = RetryBudget(ratio=RETRY_RATIO)
        self._candidates = {
            name: Candidate(
                name=name,
                data_centre=target.data_centre,
                slots_count=SLOTS_COUNT,
                link_delay_ms=self._link_delay_ms(target),
            )
            for name, target in replay.targets.items()
        }

    def send(self, request):
        """Choose a target for ``request`` and send the request to it."""
        arrival = request.arrival
        choice_request = ChoiceRequest(
            data_centre=self.data_centre,
            priority=arrival.priority,
            prefix=arrival.prefix,
            steps_count=arrival.steps_count,
            tried=request.tried,
        )
        now_ms = self._replay.now_ms
        candidates = list(self._candidates.values())
        chosen = self._policy.choose(candidates, request=choice_request, now_ms=now_ms)
        request.target = chosen.name
        request.attempt += 1
        self._change_in_flight(chosen.name, 1)
        target = self._replay.targets[chosen.name]
        self._replay.schedule(now_ms + chosen.link_delay_ms, target.enqueue, request)
        self._replay.schedule(
            now_ms + RETRY_AFTER_WAIT_MS, self._retry, request, request.attempt
        )

    def decrease_in_flight(self, name):
        """Record that a request of this entry is no longer at target ``name``."""
        self._change_in_flight(name, -1)

    def apply_report(self, name, report):
        """Update the view with a report of target ``name``."""
        candidate = self._candidates[name]
        self._candidates[name] = replace(
            candidate,
            report=report,
            report_at_ms=self._replay.now_ms,
            in_flight_at_report_count=candidate.local_in_flight_count,
        )

    def _retry(self, request, attempt):
        """Send a request that is still queued to another target, at most once."""
        if request.started or request.attempt != attempt:
            return
        now_ms = self._replay.now_ms
        if request.tried or not self.budget.take_retry(now_ms=now_ms):
            return
        if not self._replay.targets[request.target].withdraw(request):
            return
        self._change_in_flight(request.target, -1)
        request.tried = frozenset({request.target})
        self.send(request)

    def _change_in_flight(self, name, change):
        candidate = self._candidates[name]
        count = candidate.local_in_flight_count + change
        self._candidates[name] = replace(candidate, local_in_flight_count=count)

    def _link_delay_ms(self, target):
        is_local = target.data_centre == self.data_centre
        return LINK_DELAY_MS if is_local else REMOTE_LINK_DELAY_MS


class _Target:
    """A simulated target with a queue, slots and a prefix cache.

    Its reports reach the entries with a delay.
    """

    def __init__(self, *, replay, number, queue):
        self.name = f"target-{number}"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.step_ms = STEP_MS
        self.report_delay_ms = 0.0
        self._replay = replay
        self._rng = random.Random(f"{self.name}")
        self._queue = QUEUE_POLICIES[queue](limit_count=QUEUE_LIMIT_COUNT)
        self._running_count = 0
        self._paused = False
        self._cache = OrderedDict()
        self._reported_prefixes = deque(maxlen=REPORTED_PREFIXES_COUNT)
        self._last_wait_ms = 0.0

    def enqueue(self, request):
        """Add a request to the queue."""
        arrival = request.arrival
        now_ms = self._replay.now_ms
        queued = QueuedRequest(
            request_id=str(id(request)),
            customer=arrival.customer,
            deadline_ms=arrival.at_ms + DEADLINE_MS,
            queued_ms=now_ms,
            priority=arrival.priority,
            cost=arrival.steps_count,
            payload=request,
        )
        self._queue.put(queued)
        self._start_queued()

    def withdraw(self, request):
        """Remove ``request`` from the queue; return whether it was still in it."""
        return self._queue.remove(str(id(request))) is not None

    def pause(self):
        """Stop starting requests."""
        self._paused = True

    def resume(self):
        """Start requests again after ``pause``."""
        self._paused = False
        self._start_queued()

    def report(self):
        """Send a report to every entry, with a random delay for each."""
        report = Report(
            waiting_count=len(self._queue),
            running_count=self._running_count,
            slots_count=SLOTS_COUNT,
            step_ms=self.step_ms,
            queue_wait_ms=self._last_wait_ms,
            prefixes=tuple(self._reported_prefixes),
        )
        now_ms = self._replay.now_ms
        for entry in self._replay.entries:
            delay_ms = self.report_delay_ms + self._rng.uniform(0, REPORT_DELAY_MAX_MS)
            self._replay.schedule(
                now_ms + delay_ms, entry.apply_report, self.name, report
            )
        self._replay.schedule(now_ms + REPORT_INTERVAL_MS, self.report)

    def _start_queued(self):
        while self._running_count < SLOTS_COUNT and not self._paused:
            item = self._queue.take(self._replay.now_ms)
            if item is None:
                break
            self._start(item)
        for item in self._queue.expired(self._replay.now_ms):
            self._replay.result.expired_count += 1
            item.payload.entry.decrease_in_flight(self.name)

    def _start(self, item):
        request = item.payload
        request.started = True
        result = self._replay.result
        now_ms = self._replay.now_ms
        self._running_count += 1
        busy_ratio = self._running_count / SLOTS_COUNT
        step_ms = self.step_ms * (1 + CONTENTION_RATIO * busy_ratio)
        hit = self._use_prefix(request.arrival.prefix)
        prefill_ms = 0.0 if hit else PREFILL_MS
        service_ms = prefill_ms + request.arrival.steps_count * step_ms
        self._last_wait_ms = now_ms - item.queued_ms
        first_ms = now_ms + prefill_ms + step_ms - request.arrival.at_ms
        result.waits.record_value(to_us(now_ms - request.arrival.at_ms))
        result.first_tokens.record_value(to_us(first_ms))
        first_tokens, whole_answers = result.by_customer[request.arrival.customer]
        first_tokens.record_value(to_us(first_ms))
        whole_answers.record_value(to_us(now_ms + service_ms - request.arrival.at_ms))
        result.busy_ms[self.name] += service_ms
        result.hits_count += hit
        result.started_count += 1
        self._replay.schedule(now_ms + service_ms, self._end, request)

    def _end(self, request):
        self._running_count -= 1
        request.entry.decrease_in_flight(self.name)
        self._start_queued()

    def _use_prefix(self, prefix):
        hit = prefix in self._cache
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if len(self._cache) > CACHED_PREFIXES_COUNT:
            self._cache.popitem(last=False)
        if not hit and self._rng.random() >= LOST_EVENTS_RATIO:
            self._reported_prefixes.append(prefix)
        return hit
