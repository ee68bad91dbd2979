"""Simulates callers, gateways and groups whose passes lengthen with their requests.

The records and decisions of the gateways are the product's.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from waxwinghold._decisions.pass_limit import PassGoal
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
from waxwinghold._gateway.model import Target
from waxwinghold._gateway.notices import FORMAT, GroupNotice, RankNotice
from waxwinghold._gateway.targets import TargetPool

from .pass_patterns import (
    BASE_MS,
    DATA_CENTRES,
    GAP_GOAL_MS,
    LENGTH_MS,
    PASS_SIGMA,
    RANKS_COUNT,
    SLOTS_COUNT,
    is_counted,
)
from .patterns import GOAL_MS
from .world import (
    ATTEMPTS_LIMIT_COUNT,
    DEADLINE_MS,
    GAP_MS,
    HONOURED_SHARE,
    TARGET_QUEUE_LIMIT_COUNT,
    SimulatedClock,
)

GROUP_INTERVAL_MS = 130.0  # Of the notices about a group; 105 to 150 ms.
RANK_INTERVAL_MS = 75.0  # Of the reports of the ranks to their leader.
LEADER_SILENCE_MS = 350.0
DELAY_MIN_MS, DELAY_MAX_MS = 5.0, 40.0  # Of a notice, by gateway.
LOST_RATIO = 0.02  # Notices that a gateway does not get.
SERVE_INTERVAL_MS = 50.0
SENDS_LIMIT_COUNT = 3
SERVICE = "models"
# After the last arrival, streams may still end.
END_MS = LENGTH_MS + DEADLINE_MS

UNLIMITED = "unlimited"  # Routes without a gap goal.
LIMITED = "limited"
FILL_LAST = "fill last"  # No limit for the last group, which gets what is left over.
POLICIES = (UNLIMITED, LIMITED, FILL_LAST)


@dataclass(kw_only=True, eq=False)
class _Stream(LineEntry):
    """A caller's stream, and where its current attempt is.

    Attributes:
        target: The ``_Rank`` that runs or queues it.
        left_count: Events that are still to come.
        outcome: ``"on time"``, ``"late"`` or ``"rejected"``.
    """

    arrival: object
    request: QueuedRequest | None = None
    gateway: object = None
    attempts_count: int = 0
    attempt_ms: float = 0.0
    sends_count: int = 0
    sent_ms: float = 0.0
    target: object = None
    left_count: int = 0
    first_event_ms: float | None = None
    longest_pause_ms: float = 0.0
    outcome: str = ""

    @property
    def end_ms(self):
        return self.arrival.at_ms + DEADLINE_MS


@dataclass(kw_only=True, eq=False)
class _Rank:
    number: int
    group: object
    running: list = field(default_factory=list)
    queue: deque = field(default_factory=deque)
    reported: tuple = (0.0, 0, 0)  # Time, running and waiting requests.
    sequence: int = 0

    @property
    def name(self):
        return f"t{self.number}"


@dataclass(kw_only=True, eq=False)
class _Group:
    number: int
    ranks: list = field(default_factory=list)
    step: int = 0
    epoch: int = 1
    in_pass: list | None = None
    pass_number: int = 0  # Passes that were interrupted end without an effect.
    began_ms: float = 0.0
    is_open: bool = True

    def running_count(self):
        return sum(len(rank.running) for rank in self.ranks)


class _Gateway:
    """The product's records and decisions of one gateway."""

    def __init__(self, *, clock, number, gateways_count, goal, targets, rng):
        self.number = number
        self.pool = TargetPool(clock=clock)
        self.pool.grouped_services = frozenset({SERVICE})
        self.pool.pass_goals = {SERVICE: goal} if goal else {}
        self.pool.replace(targets)
        turns = Turns(position=lambda: number, count=lambda: gateways_count)
        choice = target_policy.make(
            "least_held",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            pace=self.pool.group_pace,
            relative_pace=self.pool.relative_pace,
            gateways_count=lambda: gateways_count,
            has_turn=lambda name: turns.has(name, wall_ms=clock.now_ms()),
            is_drawn=lambda name, count: turns.is_drawn(
                name, count, wall_ms=clock.now_ms()
            ),
            rng=rng,
        )
        self.line = WaitingLine(
            policy=queue_policy.make(
                "on_time_first", gateways_count=lambda: gateways_count, rng=rng
            ),
            choose=lambda tried, now_ms: choice.choose(
                self.pool.of_service(SERVICE), tried=tried, now_ms=now_ms
            ),
            state=lambda now_ms: service_state(
                self.pool.of_service(SERVICE), now_ms=now_ms
            ),
        )
        self.first_answer_time = FirstAnswerTime()
        self.delay_ms = rng.uniform(DELAY_MIN_MS, DELAY_MAX_MS)


@dataclass(frozen=True, kw_only=True)
class Sample:
    """The state of one group at the end of a pass.

    Args:
        limit_count: The limit at a gateway, or ``None``.
    """

    at_ms: float
    group: int
    running_count: int
    pass_ms: float
    limit_count: int | None


@dataclass(frozen=True, kw_only=True)
class PassOutcome:
    """What a replay gave.

    Args:
        outcomes: The outcome of each stream that counts, in order of arrival.
        samples: A ``Sample`` for each pass.
        full_sends_count: Requests that waited at a target or were rejected by it.
    """

    outcomes: list
    samples: list
    full_sends_count: int

    def share(self, outcome):
        """Return the share of the streams with an outcome."""
        return self.outcomes.count(outcome) / len(self.outcomes)

    @property
    def credit(self):
        """Return the mean credit of all streams."""
        return self.share("on time") + 0.5 * self.share("late")


class PassWorld:
    """One replay of a ``PassPattern``.

    Args:
        pattern: The pattern.
        policy: One of ``POLICIES``.
        seed: Seed of all random numbers but the arrivals.
    """

    def __init__(self, *, pattern, policy, seed):
        self._pattern = pattern
        self._rng = random.Random(f"passes {seed}")
        self._goal = None
        self._filled_group = None
        if policy == FILL_LAST:
            self._filled_group = pattern.groups_count - 1
        if policy != UNLIMITED:
            self._goal = PassGoal(gap_goal_ms=GAP_GOAL_MS, base_ms=BASE_MS)
        self._clock = SimulatedClock()
        self._due = []
        self._order = itertools.count()
        self._groups = [_Group(number=number) for number in range(pattern.groups_count)]
        self._ranks = []
        for number in range(RANKS_COUNT * pattern.groups_count):
            group = self._groups[number % pattern.groups_count]
            rank = _Rank(number=number, group=group)
            group.ranks.append(rank)
            self._ranks.append(rank)
        self._gateways = [
            self._gateway(number) for number in range(pattern.gateways_count)
        ]
        self._sequence = 0
        self._started_ms = 1
        self._leaderless_ms = None
        self._samples = []
        self._full_sends_count = 0

    def run(self, found):
        """Replay ``StreamArrival`` objects and return the ``PassOutcome``."""
        streams = [_Stream(arrival=arrival) for arrival in found]
        for stream in streams:
            self._at(stream.arrival.at_ms, self._attempt, stream)
        for rank in self._ranks:
            self._announce(rank)
            self._at(self._rng.uniform(0, RANK_INTERVAL_MS), self._report, rank)
        for group in self._groups:
            self._at(self._rng.uniform(0, GROUP_INTERVAL_MS), self._notify, group)
        for number in range(len(self._gateways)):
            self._at(self._rng.uniform(0, SERVE_INTERVAL_MS), self._tick, number)
        if self._pattern.restart_ms is not None:
            self._at(self._pattern.restart_ms, self._restart)
        while self._due and self._due[0][0] < END_MS:
            at_ms, _, action, args = heapq.heappop(self._due)
            self._clock.time_ms = at_ms
            action(*args)
        return PassOutcome(
            outcomes=[
                stream.outcome or "rejected"
                for stream in streams
                if is_counted(stream.arrival)
            ],
            samples=self._samples,
            full_sends_count=self._full_sends_count,
        )

    def _at(self, at_ms, action, *args):
        heapq.heappush(self._due, (at_ms, next(self._order), action, args))

    def _gateway(self, number):
        return _Gateway(
            clock=self._clock,
            number=number,
            gateways_count=self._pattern.gateways_count,
            goal=self._goal,
            targets=[self._listing(rank) for rank in self._ranks],
            rng=random.Random(f"gateway {number} {self._rng.random()}"),
        )

    def _listing(self, rank):
        return Target(
            name=rank.name,
            service=SERVICE,
            address=("127.0.0.1", 1000 + rank.number),
            data_centre=DATA_CENTRES[rank.number % len(DATA_CENTRES)],
            slots_count=SLOTS_COUNT,
            born_ms=1,
        )

    # Groups and their notices.

    def _begin_pass(self, group):
        if group.in_pass is not None or not group.is_open:
            return
        group.in_pass = [stream for rank in group.ranks for stream in rank.running]
        if not group.in_pass:
            group.in_pass = None
            return
        group.step += 1
        group.pass_number += 1
        now_ms = self._clock.time_ms
        group.began_ms = now_ms
        mean_ms = self._pattern.pass_ms(now_ms, group.number, len(group.in_pass))
        factor = self._rng.lognormvariate(-(PASS_SIGMA**2) / 2, PASS_SIGMA)
        self._at(now_ms + mean_ms * factor, self._end_pass, group, group.pass_number)

    def _end_pass(self, group, pass_number):
        if group.pass_number != pass_number or group.in_pass is None:
            return
        now_ms = self._clock.time_ms
        pass_ms = now_ms - group.began_ms
        streams, group.in_pass = group.in_pass, None
        progress = self._gateways[-1].pool.get(group.ranks[0].name).progress
        self._samples.append(
            Sample(
                at_ms=now_ms,
                group=group.number,
                running_count=group.running_count(),
                pass_ms=pass_ms,
                limit_count=progress.limit_count,
            )
        )
        for stream in streams:
            if stream.target is None or stream not in stream.target.running:
                continue
            stream.left_count -= 1
            if stream.first_event_ms is None:
                stream.first_event_ms = now_ms
                took_ms = now_ms - stream.sent_ms
                stream.gateway.first_answer_time.record(took_ms)
            else:
                stream.longest_pause_ms = max(stream.longest_pause_ms, pass_ms)
            if not stream.left_count:
                self._finish(stream)
        self._begin_pass(group)

    def _report(self, rank):
        now_ms = self._clock.time_ms
        rank.reported = (now_ms, len(rank.running), len(rank.queue))
        if self._is_leaderless_for(LEADER_SILENCE_MS):
            self._announce(rank)
        self._at(now_ms + RANK_INTERVAL_MS, self._report, rank)

    def _is_leaderless_for(self, limit_ms):
        if self._leaderless_ms is None:
            return False
        return self._clock.time_ms - self._leaderless_ms >= limit_ms

    def _announce(self, rank):
        """Send the gateways a notice of one rank."""
        rank.sequence += 1
        notice = RankNotice(
            format=FORMAT,
            address=f"127.0.0.1:{1000 + rank.number}",
            started_ms=1,
            sequence=rank.sequence,
            born_ms=1,
            group=f"g{rank.group.number}",
            epoch=rank.group.epoch,
            rank=rank.number,
            size=RANKS_COUNT,
            is_open=rank.group.is_open,
            step=rank.group.step,
            map_version=0,
            prepared=None,
            armed=None,
            held=None,
            orders_count=0,
            running_count=len(rank.running),
            waiting_count=len(rank.queue),
            pace=1.0,
        )
        for gateway in self._gateways:
            if self._clock.time_ms:
                self._deliver(gateway, "update_rank", notice)
            else:
                gateway.pool.update_rank(notice)

    def _deliver(self, gateway, method, notice):
        if self._rng.random() < LOST_RATIO:
            return
        self._at(
            self._clock.time_ms + gateway.delay_ms, self._apply, gateway, method, notice
        )

    def _apply(self, gateway, method, notice):
        getattr(gateway.pool, method)(notice)
        if self._filled_group is not None:
            rank = self._groups[self._filled_group].ranks[0]
            gateway.pool.get(rank.name).progress.limit_count = None

    def _notify(self, group):
        """Send the gateways a notice about a group, and change what changes by then."""
        now_ms = self._clock.time_ms
        self._at(now_ms + GROUP_INTERVAL_MS, self._notify, group)
        if group.is_open == self._pattern.is_closed(now_ms):
            self._open_or_close(group)
        if not self._pattern.has_leader(now_ms):
            if self._leaderless_ms is None:
                self._leaderless_ms = now_ms
                self._started_ms += 1
            return
        self._leaderless_ms = None
        self._sequence += 1
        notice = GroupNotice(
            format=FORMAT,
            started_ms=self._started_ms,
            sequence=self._sequence,
            group=f"g{group.number}",
            epoch=group.epoch,
            is_open=group.is_open,
            step=group.step,
            ranks=[
                (
                    rank.number,
                    int(now_ms - rank.reported[0]),
                    *rank.reported[1:],
                    10,
                )
                for rank in group.ranks
            ],
        )
        for gateway in self._gateways:
            self._deliver(gateway, "update_group", notice)

    def _open_or_close(self, group):
        group.is_open = not group.is_open
        if group.is_open:
            group.epoch += 1
            group.step = 0
        else:
            group.in_pass = None
            for rank in group.ranks:
                for stream in [*rank.running, *rank.queue]:
                    self._end_send(stream)
                    self._retry_send(stream, ran=stream.first_event_ms is not None)
        for rank in group.ranks:
            rank.reported = (self._clock.time_ms, 0, 0)
            self._announce(rank)

    # Gateways.

    def _tick(self, number):
        self._at(self._clock.time_ms + SERVE_INTERVAL_MS, self._tick, number)
        self._serve(self._gateways[number])

    def _serve(self, gateway):
        now_ms = self._clock.time_ms
        for stream, record in gateway.line.serve(now_ms=now_ms):
            self._send(stream, record)

    def _restart(self):
        """Start a quarter of the gateways again; their streams end."""
        for number in range(0, len(self._gateways), 4):
            lost = self._gateways[number]
            for stream in lost.line.entries():
                lost.line.withdraw(stream)
                self._retry_caller(stream, self._clock.time_ms)
            for rank in self._ranks:
                for stream in [*rank.running, *rank.queue]:
                    if stream.gateway is lost:
                        self._end_send(stream)
                        self._retry_caller(stream, self._clock.time_ms)
            self._gateways[number] = self._gateway(number)
        for rank in self._ranks:
            self._announce(rank)

    def _attempt(self, stream):
        now_ms = self._clock.time_ms
        stream.attempts_count += 1
        stream.attempt_ms = now_ms
        stream.tried = frozenset()
        stream.sends_count = 0
        number = stream.arrival.gateway
        if stream.attempts_count > 1:
            number = self._rng.randrange(len(self._gateways))
        stream.gateway = self._gateways[number]
        self._ask(stream)

    def _ask(self, stream):
        now_ms = self._clock.time_ms
        gateway = stream.gateway
        limit = queue_limit(
            left_ms=stream.end_ms - now_ms,
            whole_ms=DEADLINE_MS,
            waited_ms=now_ms - stream.attempt_ms,
            gap_ms=GAP_MS,
        )
        stream.request = QueuedRequest(
            arrived_ms=stream.attempt_ms,
            start_until_ms=gateway.first_answer_time.start_until_ms(
                asked_ms=stream.arrival.at_ms, goal_ms=GOAL_MS
            ),
            queue_deadline_ms=now_ms + limit.limit_ms,
            end_ms=stream.end_ms,
            last_chance=limit.last_chance,
        )
        decision = gateway.line.arrive(stream, now_ms=now_ms)
        if decision.target is not None:
            self._send(stream, decision.target)
        elif decision.waits:
            deadline_ms = stream.request.queue_deadline_ms
            self._at(deadline_ms, self._expire, stream, stream.request)
        else:
            self._reject(stream)

    def _expire(self, stream, request):
        if stream.request is request and stream.gateway.line.withdraw(stream):
            self._reject(stream)

    def _reject(self, stream):
        """Answer that the request did not run, with the time to come back."""
        now_ms = self._clock.time_ms
        left_ms = stream.end_ms - now_ms
        after_ms = stream.gateway.line.retry_after_ms(left_ms=left_ms, now_ms=now_ms)
        self._retry_caller(stream, now_ms + min(after_ms, HONOURED_SHARE * left_ms))

    def _retry_caller(self, stream, at_ms):
        stream.target = None
        if stream.attempts_count >= ATTEMPTS_LIMIT_COUNT or at_ms >= stream.end_ms:
            stream.outcome = "rejected"
            return
        self._at(max(at_ms, self._clock.time_ms + 1.0), self._attempt, stream)

    def _send(self, stream, record):
        rank = self._ranks[record.listing.address[1] - 1000]
        record.acquire_slot()
        stream.target = rank
        stream.sends_count += 1
        stream.tried = stream.tried | {rank.name}
        stream.left_count = stream.arrival.size
        stream.first_event_ms, stream.longest_pause_ms = None, 0.0
        stream.sent_ms = self._clock.time_ms
        if len(rank.running) < SLOTS_COUNT:
            rank.running.append(stream)
            self._begin_pass(rank.group)
            return
        self._full_sends_count += 1
        if len(rank.queue) < TARGET_QUEUE_LIMIT_COUNT:
            rank.queue.append(stream)
            return
        self._end_send(stream)
        record.record_rejection(now_ms=self._clock.time_ms)
        self._retry_send(stream, ran=False)

    def _end_send(self, stream):
        """Take the stream from its rank, and free its slot at the gateway."""
        rank, now_ms = stream.target, self._clock.time_ms
        if stream in rank.running:
            rank.running.remove(stream)
            if rank.queue:
                rank.running.append(rank.queue.popleft())
        elif stream in rank.queue:
            rank.queue.remove(stream)
        stream.gateway.pool.get(rank.name).release_slot()
        stream.gateway.line.record_departure(stream, now_ms=now_ms)

    def _retry_send(self, stream, *, ran):
        is_allowed = may_send_again(
            sends_count=stream.sends_count,
            left_ms=stream.end_ms - self._clock.time_ms,
            may_have_run=ran,
            runs_count=int(ran),
            runs_limit_count=2,
            is_repeatable=True,
        )
        if is_allowed and stream.sends_count < SENDS_LIMIT_COUNT:
            self._ask(stream)
        else:
            self._reject(stream)

    def _finish(self, stream):
        self._end_send(stream)
        is_on_time = (
            stream.first_event_ms <= stream.arrival.at_ms + GOAL_MS
            and stream.longest_pause_ms <= GAP_GOAL_MS
        )
        stream.outcome = "on time" if is_on_time else "late"
        self._serve(stream.gateway)


def replay_passes(pattern, found, *, policy, seed):
    """Replay arrivals with one of ``POLICIES`` and return the ``PassOutcome``."""
    return PassWorld(pattern=pattern, policy=policy, seed=seed).run(found)
