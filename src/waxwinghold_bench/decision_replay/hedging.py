"""Replays ways against slow first answers: second copies and their alternatives.

Run it with ``python -m waxwinghold_bench.decision_replay.hedging``. Two of a hundred
sends are slow by chance, as a target may be for reasons of its own; on top of that
come the faults of ``scenarios``.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import fire
import logbook

from waxwinghold._decisions.second_copies import (
    CopyTiming,
    SecondCopies,
    candidates,
    obstacle,
)
from waxwinghold._decisions.target_choice import LeastHeld, target_policy
from waxwinghold._gateway.admission_queue import service_state
from waxwinghold._tool.reports import text_table

from .patterns import GATEWAYS_COUNT, MEAN_SIZE_MS, Pattern, arrivals
from .world import GAP_MS, OURS, SERVICE, World, _Call

LOADS = (0.5, 0.8, 1.1)
SEEDS = (1,)
# A gateway needs some ten seconds until it has measured enough answers.
HEDGED_LENGTH_MS = 60_000.0
PERCENTILES = (50.0, 95.0, 99.0, 99.9)
SLOW_RATIO = 0.02
SLOW_EXTRA_MS = 600.0
RATIO = 0.05
WINDOW_MS = 60_000.0  # The default of ``second_copies_window_s``.
FIXED_DELAY_MS = 200.0  # About twice the usual first answer.
PERCENTILE = 95.0
ANSWER_SMOOTHING_RATIO = 0.1
UNLIMITED_RATIO = 1e9


@target_policy("fastest_answers")
class FastestAnswers(LeastHeld):
    """Also prefers targets whose last first answers were fast."""

    def __init__(self, **options):
        super().__init__(**options)
        self._answers_ms = {}
        self._mean_ms = 0.0

    def record_answer(self, name, took_ms):
        """Record that a target began its answer ``took_ms`` after a send."""
        before_ms = self._answers_ms.get(name, took_ms)
        change_ms = ANSWER_SMOOTHING_RATIO * (took_ms - before_ms)
        self._answers_ms[name] = before_ms + change_ms
        self._mean_ms += ANSWER_SMOOTHING_RATIO * (took_ms - self._mean_ms)

    def _cost(self, target, now_ms):
        cost = super()._cost(target, now_ms)
        if not self._mean_ms:
            return cost
        answer_ms = self._answers_ms.get(target.listing.name, self._mean_ms)
        return cost * answer_ms / self._mean_ms


@dataclass(frozen=True, kw_only=True)
class Hedging:
    """One way against slow answers.

    Args:
        fixed_delay_ms: Delay until a copy; ``None`` for the percentile of the recent
            answers.
        sends_copies: Whether copies are sent at all.
        ratio: Copies allowed for each first send.
        is_checked: Whether the conditions for a copy are checked.
        is_tied: Whether each request is sent to two targets at once, and the one that
            begins first cancels the other.
        target: The policy that chooses targets.
    """

    fixed_delay_ms: float | None = None
    sends_copies: bool = True
    ratio: float = RATIO
    is_checked: bool = True
    is_tied: bool = False
    target: str = OURS.target


ways = {
    "none": Hedging(sends_copies=False),
    "fixed delay, no limit": Hedging(
        fixed_delay_ms=FIXED_DELAY_MS, ratio=UNLIMITED_RATIO, is_checked=False
    ),
    "fixed delay": Hedging(fixed_delay_ms=FIXED_DELAY_MS),
    "percentile": Hedging(),
    "percentile, 0.1": Hedging(ratio=0.1),
    "tied requests": Hedging(
        fixed_delay_ms=0.0, ratio=UNLIMITED_RATIO, is_checked=False, is_tied=True
    ),
    "better first choice": Hedging(sends_copies=False, target="fastest_answers"),
}

scenarios: dict[str, Callable] = {
    "slow by chance": lambda load: Pattern(load=load, groups_count=0),
    # All ranks of a group make each step together.
    "one slow rank": lambda load: Pattern(
        load=load,
        groups_count=2,
        pace=lambda now_ms, number: (
            3.0 if number % 2 == 0 and 20_000 <= now_ms < 40_000 else 1.0
        ),
    ),
    "a target that pauses": lambda load: Pattern(
        load=load,
        groups_count=0,
        is_stalled=lambda now_ms, number: (
            number == 0 and now_ms >= 4000 and now_ms % 4000 < 1000
        ),
    ),
    "fault of all": lambda load: Pattern(
        load=load,
        groups_count=0,
        is_stalled=lambda now_ms, number: 30_000 <= now_ms < 31_500,
    ),
}


@dataclass(kw_only=True, eq=False)
class _HedgedCall(_Call):
    """A call, or its copy.

    Attributes:
        twin: The other send of the same request that is running, or ``None``.
        primary: For a copy, the call; else ``None``.
    """

    twin: object = None
    primary: object = None
    work_ms: float = 0.0


@dataclass(kw_only=True)
class Outcome:
    """What a replay gave.

    Attributes:
        first_answers_ms: Times from the callers' requests to the first answers.
        requests_count: Requests of callers.
        copies_count: Copies that were sent.
        lost_work_ms: Work at targets for sends that were cancelled.
    """

    first_answers_ms: list = field(default_factory=list)
    requests_count: int = 0
    copies_count: int = 0
    lost_work_ms: float = 0.0

    def add(self, other):
        """Add what another replay gave."""
        self.first_answers_ms += other.first_answers_ms
        self.requests_count += other.requests_count
        self.copies_count += other.copies_count
        self.lost_work_ms += other.lost_work_ms

    def percentile_ms(self, percentile):
        """Return a percentile of the first answers."""
        times_ms = sorted(self.first_answers_ms)
        index = min(len(times_ms) - 1, int(len(times_ms) * percentile / 100))
        return times_ms[index]

    @property
    def extra_work_ratio(self):
        """Return the work for cancelled sends, relative to that of all requests."""
        return self.lost_work_ms / (MEAN_SIZE_MS * self.requests_count)


class HedgedWorld(World):
    """A replay in which slow requests may be sent to a second target.

    Args:
        hedging: The ``Hedging``.
    """

    call_type = _HedgedCall
    length_ms = HEDGED_LENGTH_MS

    def __init__(self, *, pattern, hedging, seed):
        policies = replace(OURS, target=hedging.target)
        super().__init__(pattern=pattern, policies=policies, seed=seed)
        self._hedging = hedging
        self._slow_rng = random.Random(f"slow {seed}")
        self._copies = {}
        self._copies_due = []
        self._copies_order = itertools.count()
        self._firsts_ms = {}
        self.outcome = Outcome()

    def run(self, found):
        """Replay ``Arrival`` objects; return ``(arrival, share)`` of each."""
        results = super().run(found)
        self.outcome.first_answers_ms = list(self._firsts_ms.values())
        self.outcome.requests_count = len(found)
        return results

    def _tick(self):
        super()._tick()
        now_ms = self._clock.time_ms
        while self._copies_due and self._copies_due[0][0] <= now_ms:
            _, _, call, sent_ms, timing = heapq.heappop(self._copies_due)
            is_waiting = call.place == "target" and call.first_event_ms is None
            if is_waiting and call.sent_ms == sent_ms and call.twin is None:
                self._send_copy(call, timing, now_ms)

    def _copies_of(self, gateway):
        copies = self._copies.get(gateway)
        if copies is None:
            copies = self._copies[gateway] = SecondCopies(window_ms=WINDOW_MS)
        return copies

    def _send(self, call, record, now_ms):
        sends_count = call.sends_count
        super()._send(call, record, now_ms)
        if call.sends_count != sends_count + 1 or call.place != "target":
            return
        call.work_ms = call.remaining_ms
        if self._slow_rng.random() < SLOW_RATIO:
            call.work_ms += SLOW_EXTRA_MS
            call.remaining_ms += SLOW_EXTRA_MS
        if call.primary is not None or not self._hedging.sends_copies:
            return
        copies = self._copies_of(call.gateway)
        if call.sends_count == 1:
            copies.limit.record_first_send(now_ms=now_ms, wall_ms=now_ms)
        timing = self._timing(copies, now_ms)
        if timing is not None:
            due_ms = now_ms + timing.delay_ms
            order = next(self._copies_order)
            heapq.heappush(self._copies_due, (due_ms, order, call, now_ms, timing))

    def _timing(self, copies, now_ms):
        delay_ms = self._hedging.fixed_delay_ms
        if delay_ms is not None:
            return CopyTiming(delay_ms=delay_ms, typical_ms=0.0)
        return copies.delays.timing("stream", percentile=PERCENTILE, now_ms=now_ms)

    def _send_copy(self, call, timing, now_ms):
        gateway, copies = call.gateway, self._copies_of(call.gateway)
        targets = gateway.pool.of_service(SERVICE)
        first = gateway.pool.get(f"t{call.target_number}")
        if self._hedging.is_checked:
            reason = obstacle(
                ratio=self._hedging.ratio,
                is_stopping=False,
                left_ms=min(call.attempt_ms + GAP_MS, call.end_ms) - now_ms,
                typical_ms=timing.typical_ms,
                free_ratio=service_state(targets, now_ms=now_ms).free_ratio,
            )
            if reason or gateway.line:
                return
        target = None
        for alike in candidates(
            first,
            targets,
            pace=gateway.pool.group_pace,
            is_limited=lambda target: False,
            now_ms=now_ms,
        ):
            target = gateway.choice.choose(alike, tried=call.tried, now_ms=now_ms)
            if target is not None:
                break
        if target is None or not copies.limit.try_take(
            ratio=self._hedging.ratio, now_ms=now_ms, wall_ms=now_ms
        ):
            return
        if self._hedging.is_checked and not gateway.budget.try_spend(
            now_ms=now_ms, gateways_count=GATEWAYS_COUNT
        ):
            return
        copy = _HedgedCall(
            arrival=call.arrival,
            request=call.request,
            gateway=gateway,
            attempt_ms=call.attempt_ms,
            tried=call.tried,
            primary=call,
            is_late=True,
        )
        self.outcome.copies_count += 1
        call.twin, copy.twin = copy, call
        self._send(copy, target, now_ms)

    def _begin(self, target, call, now_ms):
        super()._begin(target, call, now_ms)
        twin = call.twin
        if self._hedging.is_tied and twin is not None:
            self._cancel(twin if twin.began_ms is None else call, now_ms)

    def _cancel(self, call, now_ms):
        """End a send: the other one is the only one from now on."""
        other = call.twin
        call.twin = other.twin = None
        if call.place != "target":
            return
        self.outcome.lost_work_ms += max(0.0, call.work_ms - call.remaining_ms)
        call.place = "cancelled"
        self._end_send(call, now_ms)

    def _record_first_event(self, call, now_ms):
        super()._record_first_event(call, now_ms)
        record_answer = getattr(call.gateway.choice, "record_answer", None)
        if record_answer is not None:
            record_answer(f"t{call.target_number}", now_ms - call.sent_ms)
        took_ms = now_ms - call.arrival.at_ms
        self._firsts_ms.setdefault(id(call.arrival), took_ms)
        first = call.primary or call
        self._copies_of(call.gateway).delays.record(
            "stream", now_ms - first.sent_ms, now_ms=now_ms
        )
        if call.twin is not None:
            self._cancel(call.twin, now_ms)

    def _finish(self, call, now_ms):
        super()._finish(call, now_ms)
        if call.primary is not None:
            call.primary.share = call.share
            call.primary.place, call.primary.is_over = "away", True

    def _retry_send(self, call, now_ms, *, ran):
        twin = call.twin
        if twin is not None:
            call.twin = twin.twin = None
            call.place = "cancelled"
        elif call.primary is not None:
            call.place = "cancelled"
            super()._retry_send(call.primary, now_ms, ran=ran)
        else:
            super()._retry_send(call, now_ms, ran=ran)

    def _retry_caller(self, call, at_ms):
        if call.twin is not None:
            self._cancel(call.twin, self._clock.time_ms)
        if call.primary is not None:
            call.place = "cancelled"
        super()._retry_caller(call.primary or call, at_ms)


def replay_hedging(way, scenario, load, *, seed):
    """Return the ``Outcome`` of a replay, and ``(arrival, share)`` of each request."""
    pattern = scenarios[scenario](lambda now_ms: load)
    found = arrivals(pattern, seed=seed, length_ms=HEDGED_LENGTH_MS)
    world = HedgedWorld(pattern=pattern, hedging=ways[way], seed=seed)
    results = world.run(found)
    return world.outcome, results


def main(*, only="", seeds=SEEDS):
    """Print the table.

    Args:
        only: Part of the names of the scenarios to replay; empty for all.
        seeds: Seeds of the arrivals and of all choices.
    """
    rows = []
    with logbook.NullHandler().applicationbound():
        for scenario in scenarios:
            if only not in scenario:
                continue
            for load in LOADS:
                for way in ways:
                    outcome = Outcome()
                    for seed in seeds:
                        outcome.add(replay_hedging(way, scenario, load, seed=seed)[0])
                    rows.append(_row(scenario, load, way, outcome))
    headers = (
        "scenario",
        "load",
        "way",
        *(f"p{percentile:g}" for percentile in PERCENTILES),
        "answered",
        "copies",
        "extra work",
    )
    print(text_table(headers, rows))


def _row(scenario, load, way, outcome):
    count = outcome.requests_count
    return (
        scenario,
        f"{load:g}",
        way,
        *(f"{outcome.percentile_ms(percentile):.0f}" for percentile in PERCENTILES),
        f"{len(outcome.first_answers_ms) / count:.3f}",
        f"{outcome.copies_count / count:.3f}",
        f"{outcome.extra_work_ratio:.3f}",
    )


if __name__ == "__main__":
    fire.Fire(main)
