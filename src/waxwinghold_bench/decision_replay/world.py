"""Simulates callers, gateways and targets in steps of ``TICK_MS``."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from waxwinghold._decisions.retry_budget import budget_policy
from waxwinghold._decisions.sends import may_send_again, queue_limit
from waxwinghold._decisions.target_choice import Turns, target_policy
from waxwinghold._decisions.waiting import (
    FirstAnswerTime,
    LineEntry,
    QueuedRequest,
    WaitingLine,
    queue_policy,
)
from waxwinghold._gateway.admission_queue import service_state
from waxwinghold._gateway.model import Target, TargetState
from waxwinghold._gateway.notices import FORMAT, RankNotice
from waxwinghold._gateway.targets import TargetPool

from .credit import LATE_CREDIT, ON_TIME_CREDIT
from .patterns import DATA_CENTRES, LENGTH_MS, SLOTS_COUNT
from .patterns import TARGETS_COUNT as TARGETS

TICK_MS = 10.0
NOTICE_INTERVAL_MS = 100.0
NOTICE_INTERVAL_PER_GATEWAY_MS = 8.0
SILENCE_INTERVALS_COUNT = 16
DEADLINE_MS = 8000.0
GAP_MS = 2000.0
ATTEMPTS_LIMIT_COUNT = 2
HONOURED_SHARE = 1 / 3
CONNECT_LIMIT_MS = 1000.0
IMPATIENT_ATTEMPTS_LIMIT_COUNT = 4
FIRST_EVENT_MS = 80.0  # From the slot to the first event.
TARGET_QUEUE_LIMIT_COUNT = 6
CLOSED_FAILURE_MS = 1500.0
RUNS_LIMIT_COUNT = 2
RETRY_RATIO = 0.2
RETRY_SLACK_COUNT = 90.0
RETRY_WINDOW_MS = 10_000.0
SERVICE = "models"


@dataclass(frozen=True, kw_only=True)
class Policies:
    """The names of the policies that a replay uses."""

    name: str
    queue: str
    target: str
    budget: str


NAIVE = Policies(
    name="naive", queue="first_come", target="fewest_own", budget="unlimited"
)
OURS = Policies(
    name="ours", queue="on_time_first", target="least_held", budget="shared"
)


class SimulatedClock:
    """The clock of all simulated processes."""

    def __init__(self):
        self.time_ms = 0.0

    def now_ms(self):
        return self.time_ms

    def wall_ms(self):
        return int(self.time_ms)


@dataclass(kw_only=True, eq=False)
class _Call(LineEntry):
    """A caller's request, and where its current attempt is.

    Attributes:
        share: Share of its worth that it earned.
        remaining_ms: Work left at the target.
        began_ms: When it got a slot at the target.
    """

    arrival: object
    gateway: object = None
    attempts_count: int = 0
    attempt_ms: float = 0.0
    request: QueuedRequest | None = None
    sends_count: int = 0
    runs_count: int = 0
    place: str = "away"
    target_number: int | None = None
    remaining_ms: float = 0.0
    sent_ms: float = 0.0
    began_ms: float | None = None
    first_event_ms: float | None = None
    progress_ms: float = 0.0
    share: float = 0.0
    is_over: bool = False

    @property
    def end_ms(self):
        return self.arrival.at_ms + DEADLINE_MS


@dataclass(kw_only=True, eq=False)
class _SimulatedTarget:
    number: int
    running: list = field(default_factory=list)
    queue: deque = field(default_factory=deque)
    step: int = 0
    closed_ms: float | None = None

    @property
    def name(self):
        return f"t{self.number}"

    def calls(self):
        return [*self.running, *self.queue]


class _SimulatedGateway:
    """One gateway: the product's records and decisions, without any process."""

    def __init__(self, *, clock, number, policies, rng, world):
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.number = number
        self.pool = TargetPool(clock=clock)
        self._policies = policies
        self.is_lost = False
        self.lost_ms = float("-inf")
        self.published_steps = {}
        count = world.gateways_count
        turns = Turns(position=lambda: number, count=count)
        self.choice = choice = target_policy.make(
            policies.target,
            data_centre=self.data_centre,
            pace=self.pool.group_pace,
            relative_pace=self.pool.relative_pace,
            gateways_count=count,
            has_turn=lambda name: turns.has(name, wall_ms=clock.now_ms()),
            rng=rng,
        )
        self.line = WaitingLine(
            policy=queue_policy.make(
                policies.queue,
                gateways_count=count,
                peer_steps=lambda: world.peer_steps(number),
                rng=rng,
                fair_customers=lambda: world.fair_customers,
            ),
            choose=lambda tried, now_ms, needs_turn=True: choice.choose(
                self.pool.of_service(SERVICE),
                tried=tried,
                now_ms=now_ms,
                needs_turn=needs_turn,
            ),
            state=lambda now_ms: service_state(
                self.pool.of_service(SERVICE), now_ms=now_ms
            ),
        )
        self.budget = budget_policy.make(
            policies.budget,
            ratio=RETRY_RATIO,
            slack_count=RETRY_SLACK_COUNT,
            window_ms=RETRY_WINDOW_MS,
        )
        self.first_answer_time = FirstAnswerTime()
        self.waiting = {}  # Ordered, so that replays repeat.


class World:
    """One replay of a pattern.

    Args:
        pattern: The ``Pattern``.
        policies: The ``Policies``.
        seed: Seed of all random numbers but the arrivals.
    """

    call_type = _Call
    length_ms = LENGTH_MS

    def __init__(self, *, pattern, policies, seed):
        self._pattern = pattern
        self._policies = policies
        self._rng = random.Random(f"replay {seed}")
        self._clock = SimulatedClock()
        self._targets = [_SimulatedTarget(number=number) for number in range(TARGETS)]
        self._gateways = []
        self._due = []
        self._order = itertools.count()
        self._sequence = 0
        self._calls = []
        self._next_notice_ms = 0.0
        self._next_steps_ms = 0.0
        self._interval_ms = max(
            NOTICE_INTERVAL_MS,
            NOTICE_INTERVAL_PER_GATEWAY_MS * pattern.gateways_count,
        )
        self._up = False

    def run(self, found):
        """Replay ``Arrival`` objects; return ``(arrival, share)`` of each."""
        for arrival in found:
            call = self.call_type(arrival=arrival)
            self._calls.append(call)
            self._schedule(arrival.at_ms, call)
        while self._clock.time_ms < self.length_ms + DEADLINE_MS:
            self._tick()
            self._clock.time_ms += TICK_MS
        return [(call.arrival, call.share) for call in self._calls]

    @property
    def fair_customers(self):
        """Whether customers above their share wait behind the others."""
        return self._pattern.fair_customers

    def gateways_count(self):
        """Return how many gateways the others take for active."""
        return len(self._known_gateways())

    def peer_steps(self, number):
        """Return the steps that the other gateways have published."""
        return [
            gateway.published_steps
            for gateway in self._known_gateways()
            if gateway.number != number
        ]

    def _known_gateways(self):
        silent_ms = SILENCE_INTERVALS_COUNT * self._interval_ms
        return [
            gateway
            for gateway in self._gateways
            if not gateway.is_lost or self._clock.time_ms - gateway.lost_ms <= silent_ms
        ]

    def _schedule(self, at_ms, call):
        heapq.heappush(self._due, (at_ms, next(self._order), call))

    def _tick(self):
        now_ms = self._clock.time_ms
        self._switch_gateways(now_ms)
        self._lose_gateways(now_ms)
        self._make_progress(now_ms)
        if now_ms >= self._next_notice_ms:
            self._next_notice_ms += NOTICE_INTERVAL_MS
            self._send_notices(now_ms)
        if now_ms >= self._next_steps_ms:
            self._next_steps_ms += self._interval_ms
            for gateway in self._gateways:
                if not gateway.is_lost:
                    steps = gateway.line.published_steps(now_ms=now_ms)
                    gateway.published_steps = steps
        while self._due and self._due[0][0] <= now_ms:
            self._attempt(heapq.heappop(self._due)[2], now_ms)
        for gateway in self._gateways:
            for call, target in gateway.line.serve(now_ms=now_ms):
                gateway.waiting.pop(call, None)
                self._send(call, target, now_ms)
            self._expire(gateway, now_ms)
        self._leave(now_ms)

    def _switch_gateways(self, now_ms):
        up = self._pattern.gateways_up(now_ms)
        if up == self._up:
            return
        self._up = up
        if up:
            self._gateways = [
                self._new_gateway(number, now_ms)
                for number in range(self._pattern.gateways_count)
            ]
            self._send_notices(now_ms)
            return
        for target in self._targets:
            target.running.clear()
            target.queue.clear()
        self._gateways = []
        for call in self._calls:
            if call.place != "away":
                self._retry_caller(call, now_ms)

    def _new_gateway(self, number, now_ms):
        return _SimulatedGateway(
            clock=self._clock,
            number=number,
            policies=self._policies,
            rng=random.Random(f"{self._policies.name} {number} {now_ms}"),
            world=self,
        )

    def _lose_gateways(self, now_ms):
        """Kill gateways, and start lost ones again."""
        for index, gateway in enumerate(self._gateways):
            is_lost = self._pattern.is_lost(now_ms, gateway.number)
            if is_lost == gateway.is_lost:
                continue
            if not is_lost:
                self._gateways[index] = self._new_gateway(gateway.number, now_ms)
                continue
            gateway.is_lost, gateway.lost_ms = True, now_ms
            gateway.waiting.clear()
            for call in self._calls:
                if call.gateway is gateway and call.place != "away":
                    if call.place == "target":
                        self._end_send(call, now_ms)
                    self._retry_caller(call, now_ms)
            for call in gateway.line.entries():
                gateway.line.withdraw(call)

    def _make_progress(self, now_ms):
        pattern = self._pattern
        for target in self._targets:
            number = target.number
            if pattern.is_closed(now_ms, number):
                self._close(target, now_ms)
                continue
            target.closed_ms = None
            if pattern.is_stalled(now_ms, number):
                continue
            target.step += 1
            work_ms = TICK_MS / pattern.pace(now_ms, number)
            for call in list(target.running):
                call.remaining_ms -= work_ms
                call.progress_ms = now_ms
                done_ms = call.arrival.size_ms - call.remaining_ms
                if call.first_event_ms is None and done_ms >= FIRST_EVENT_MS:
                    call.first_event_ms = now_ms
                    self._record_first_event(call, now_ms)
                if call.remaining_ms <= 0:
                    self._finish(call, now_ms)

    def _record_first_event(self, call, now_ms):
        call.gateway.first_answer_time.record(now_ms - call.sent_ms)

    def _close(self, target, now_ms):
        if target.closed_ms is None:
            target.closed_ms = now_ms
        if now_ms - target.closed_ms < CLOSED_FAILURE_MS:
            return
        for call in target.calls():
            self._end_send(call, now_ms)
            record = call.gateway.pool.get(target.name)
            record.avoid(now_ms=now_ms, pause_ms=1000.0)
            self._retry_send(call, now_ms, ran=call.began_ms is not None)

    def _send_notices(self, now_ms):
        self._sequence += 1
        for gateway in self._gateways:
            gateway.pool.replace([self._listing(t, now_ms) for t in self._targets])
            gateway.pool.grouped_services = (
                frozenset({SERVICE}) if self._pattern.groups_count else frozenset()
            )
        if self._pattern.groups_count:
            steps = {}
            for target in self._targets:
                group = self._pattern.group(target.number)
                steps[group] = max(steps.get(group, 0), target.step)
            for target in self._targets:
                group = self._pattern.group(target.number)
                notice = self._notice(target, group, steps[group], now_ms)
                for gateway in self._gateways:
                    gateway.pool.update_rank(notice)
            return
        for gateway in self._gateways:
            for target in self._targets:
                others = sum(call.gateway is not gateway for call in target.calls())
                gateway.pool.get(target.name).peers_in_flight_count = others

    def _listing(self, target, now_ms):
        leaving = self._pattern.is_leaving(now_ms, target.number)
        return Target(
            name=target.name,
            service=SERVICE,
            address=("127.0.0.1", 1000 + target.number),
            data_centre=DATA_CENTRES[target.number % len(DATA_CENTRES)],
            slots_count=SLOTS_COUNT,
            state=TargetState.LEAVING if leaving else TargetState.READY,
            born_ms=1,
        )

    def _notice(self, target, group, step, now_ms):
        return RankNotice(
            format=FORMAT,
            address=f"127.0.0.1:{1000 + target.number}",
            started_ms=1,
            sequence=self._sequence,
            born_ms=1,
            group=f"g{group}",
            epoch=1,
            rank=target.number,
            size=TARGETS,
            is_open=not self._pattern.is_closed(now_ms, target.number),
            step=step,
            map_version=0,
            prepared=None,
            armed=None,
            held=None,
            orders_count=0,
            running_count=len(target.running),
            waiting_count=len(target.queue),
            pace=self._pattern.pace(now_ms, target.number),
        )

    def _attempt(self, call, now_ms):
        if call.is_over:
            return
        call.attempts_count += 1
        call.attempt_ms = now_ms
        call.tried = frozenset()
        call.sends_count = call.runs_count = 0
        if not self._up:
            self._retry_caller(call, now_ms + CONNECT_LIMIT_MS)
            return
        place = self._pattern.moves_to(self._rng, now_ms, call.arrival.data_centre)
        call.gateway = self._rng.choice(
            [
                gateway
                for gateway in self._gateways
                if gateway.data_centre == place and not gateway.is_lost
            ]
        )
        call.gateway.budget.record_first_send(
            now_ms=now_ms, gateways_count=self.gateways_count()
        )
        self._ask(call, now_ms)

    def _ask(self, call, now_ms):
        """Ask the gateway's line for a slot."""
        limit = queue_limit(
            left_ms=call.end_ms - now_ms,
            whole_ms=DEADLINE_MS,
            waited_ms=now_ms - call.attempt_ms,
            gap_ms=GAP_MS,
        )
        call.request = QueuedRequest(
            arrived_ms=call.attempt_ms,
            start_until_ms=call.gateway.first_answer_time.start_until_ms(
                asked_ms=call.arrival.at_ms, goal_ms=call.arrival.goal_ms
            ),
            queue_deadline_ms=now_ms + limit.limit_ms,
            end_ms=call.end_ms,
            priority=call.arrival.priority,
            last_chance=limit.last_chance,
            customer=str(call.arrival.customer),
        )
        decision = call.gateway.line.arrive(call, now_ms=now_ms)
        if decision.target is not None:
            self._send(call, decision.target, now_ms)
        elif decision.waits:
            call.place = "line"
            call.gateway.waiting[call] = True
        else:
            self._reject(call, now_ms)

    def _reject(self, call, now_ms):
        """Answer that the request did not run, with the time to come back."""
        left_ms = call.end_ms - now_ms
        after_ms = call.gateway.line.retry_after_ms(
            left_ms=left_ms, now_ms=now_ms, priority=call.arrival.priority
        )
        after_ms = min(after_ms, HONOURED_SHARE * left_ms)
        self._retry_caller(call, now_ms + after_ms)

    def _retry_caller(self, call, at_ms):
        call.place, call.target_number = "away", None
        limit_count = ATTEMPTS_LIMIT_COUNT
        if call.arrival.is_impatient:
            at_ms, limit_count = self._clock.time_ms, IMPATIENT_ATTEMPTS_LIMIT_COUNT
        if call.attempts_count >= limit_count or at_ms >= call.end_ms:
            call.is_over = True
            return
        self._schedule(max(at_ms, self._clock.time_ms + TICK_MS), call)

    def _send(self, call, record, now_ms):
        number = record.listing.address[1] - 1000
        target = self._targets[number]
        record.acquire_slot()
        call.target_number = number
        call.sends_count += 1
        call.tried = call.tried | {target.name}
        call.remaining_ms = call.arrival.size_ms
        call.began_ms = call.first_event_ms = None
        call.place = "target"
        call.sent_ms = now_ms
        if self._rng.random() < self._pattern.failing_ratio(now_ms, number):
            call.runs_count += 1
            self._end_send(call, now_ms)
            record.record_error_answer()
            self._retry_send(call, now_ms, ran=True)
        elif len(target.running) < SLOTS_COUNT:
            self._begin(target, call, now_ms)
        elif len(target.queue) < TARGET_QUEUE_LIMIT_COUNT:
            target.queue.append(call)
        else:
            self._end_send(call, now_ms)
            record.record_rejection(now_ms=now_ms)
            self._retry_send(call, now_ms, ran=False)

    def _begin(self, target, call, now_ms):
        target.running.append(call)
        call.began_ms = now_ms

    def _end_send(self, call, now_ms):
        """Take the call from its target, and free its slot at the gateway."""
        target = self._targets[call.target_number]
        if call in target.running:
            target.running.remove(call)
            if target.queue:
                self._begin(target, target.queue.popleft(), now_ms)
        elif call in target.queue:
            target.queue.remove(call)
        record = call.gateway.pool.get(target.name)
        record.release_slot()
        call.gateway.line.record_departure(call, now_ms=now_ms)

    def _retry_send(self, call, now_ms, *, ran):
        """Send the request to another target, or answer that it failed."""
        is_allowed = may_send_again(
            sends_count=call.sends_count,
            left_ms=call.end_ms - now_ms,
            may_have_run=call.runs_count > 0,
            runs_count=call.runs_count,
            runs_limit_count=RUNS_LIMIT_COUNT,
            is_repeatable=True,
        )
        if is_allowed and call.gateway.budget.try_spend(
            now_ms=now_ms, gateways_count=self.gateways_count()
        ):
            self._ask(call, now_ms)
        elif ran:
            self._retry_caller(call, now_ms)
        else:
            self._reject(call, now_ms)

    def _finish(self, call, now_ms):
        self._end_send(call, now_ms)
        call.gateway.pool.get(f"t{call.target_number}").record_success()
        on_time = call.first_event_ms <= call.arrival.at_ms + call.arrival.goal_ms
        call.share = ON_TIME_CREDIT if on_time else LATE_CREDIT
        call.place, call.is_over = "away", True

    def _expire(self, gateway, now_ms):
        for call in list(gateway.waiting):
            if call.request.queue_deadline_ms <= now_ms:
                gateway.waiting.pop(call, None)
                gateway.line.withdraw(call)
                self._reject(call, now_ms)

    def _leave(self, now_ms):
        """Let the callers leave that got no event for too long."""
        for target in self._targets:
            for call in target.calls():
                heard_ms = call.attempt_ms
                if call.first_event_ms is not None:
                    heard_ms = call.progress_ms
                if now_ms - heard_ms >= GAP_MS or now_ms >= call.end_ms:
                    self._end_send(call, now_ms)
                    self._retry_caller(call, now_ms)


def replay(pattern, found, *, policies, seed):
    """Replay arrivals with policies; return ``(arrival, share)`` of each."""
    return World(pattern=pattern, policies=policies, seed=seed).run(found)
