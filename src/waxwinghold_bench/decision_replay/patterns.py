"""The load patterns: when requests arrive, and which targets work when."""

import random
from collections.abc import Callable
from dataclasses import dataclass

LENGTH_MS = 30_000.0
TARGETS_COUNT = 12
SLOTS_COUNT = 6
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
GATEWAYS_COUNT = 7
CUSTOMERS_COUNT = 10
# Sizes of requests: time in a slot in milliseconds, and share of the requests.
SIZES = ((600.0, 0.5), (1200.0, 0.35), (2400.0, 0.15))
MEAN_SIZE_MS = sum(size_ms * share for size_ms, share in SIZES)
CAPACITY_PER_MS = TARGETS_COUNT * SLOTS_COUNT / MEAN_SIZE_MS
USUAL_LOAD = 0.6
# The users' callers of streams, rounded.
GOAL_MS = 400.0

patterns = {}


def _nothing(now_ms, number):
    return False


def _usual_pace(now_ms, number):
    return 1.0


def _all_up(now_ms):
    return True


def _never_lost(now_ms, number):
    return False


def _any_gateway(rng, now_ms, data_centre):
    return data_centre


@dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of requests.

    Args:
        priority: 0 is the most urgent.
        goal_ms: Time to the first event of an answer on time.
        load: Function of the time; its arrivals as a multiple of the capacity.
    """

    priority: int
    goal_ms: float
    load: Callable


@dataclass(frozen=True, kw_only=True)
class Pattern:
    """One load pattern; targets are numbered from 0.

    Args:
        load: Function of the time in milliseconds; returns the arrivals as a multiple
            of the capacity of all targets.
        kinds: The ``Kind`` objects of the requests, instead of ``load``; empty for
            requests that are all alike.
        gateways_count: How many gateways there are.
        is_lost: Function of the time and a gateway's number; whether it is killed.
            It starts again without any state.
        groups_count: Groups that the targets form; 0 for targets without groups.
        is_stalled: Function of the time and a target; whether its group makes no step.
        is_closed: The same; whether its group lost a rank. Its requests fail.
        is_leaving: The same; whether the target is listed as leaving.
        pace: The same; how many times longer than usual its requests take.
        failing_ratio: The same; share of its requests that it answers with an error.
        gateways_up: Function of the time; whether the gateways run.
        moves_to: Function of a random generator, the time and a data centre; returns
            the one whose gateways a caller uses.
        fair_customers: Whether customers above their share wait behind the others.
        large_customer_factor: Load of customer 0, relative to the others.
        impatient_ratio: Share of the callers that repeat at once, three times.
    """

    load: Callable = lambda now_ms: USUAL_LOAD
    kinds: tuple[Kind, ...] = ()
    gateways_count: int = GATEWAYS_COUNT
    is_lost: Callable = _never_lost
    groups_count: int = 1
    is_stalled: Callable = _nothing
    is_closed: Callable = _nothing
    is_leaving: Callable = _nothing
    pace: Callable = _usual_pace
    failing_ratio: Callable = lambda now_ms, number: 0.0
    gateways_up: Callable = _all_up
    moves_to: Callable = _any_gateway
    fair_customers: bool = False
    large_customer_factor: float = 1.0
    impatient_ratio: float = 0.0

    def group(self, number):
        """Return the number of the group of a target; ``None`` without groups."""
        return number % self.groups_count if self.groups_count else None

    def load_at(self, now_ms):
        """Return the arrivals of all kinds as a multiple of the capacity."""
        if self.kinds:
            return sum(kind.load(now_ms) for kind in self.kinds)
        return self.load(now_ms)

    def works(self, now_ms, number):
        """Return whether a target makes progress."""
        return not (self.is_stalled(now_ms, number) or self.is_closed(now_ms, number))


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a caller.

    Args:
        at_ms: When the caller first sends it.
        size_ms: Time that it needs in a slot of usual pace.
        customer: Number of the customer.
        data_centre: Where the caller is.
        is_impatient: Whether the caller repeats at once, whatever it is told.
        priority: 0 is the most urgent.
        goal_ms: Time to the first event of an answer on time.
    """

    at_ms: float
    size_ms: float
    customer: int
    data_centre: str
    is_impatient: bool
    priority: int = 0
    goal_ms: float = GOAL_MS


def arrivals(pattern, *, seed, length_ms=LENGTH_MS):
    """Return the ``Arrival`` objects of a pattern, in order of time."""
    rng = random.Random(f"arrivals {seed}")
    weights = [pattern.large_customer_factor] + [1.0] * (CUSTOMERS_COUNT - 1)
    sizes, shares = zip(*SIZES)
    found, now_ms = [], 0.0
    while True:
        now_ms += rng.expovariate(CAPACITY_PER_MS * pattern.load_at(now_ms))
        if now_ms >= length_ms:
            return found
        found.append(
            Arrival(
                at_ms=now_ms,
                size_ms=rng.choices(sizes, shares)[0],
                customer=rng.choices(range(CUSTOMERS_COUNT), weights)[0],
                data_centre=rng.choice(DATA_CENTRES),
                is_impatient=rng.random() < pattern.impatient_ratio,
                **_kind_fields(pattern, rng, now_ms),
            )
        )


def _kind_fields(pattern, rng, now_ms):
    """Return the fields of an ``Arrival`` that its kind decides."""
    if not pattern.kinds:
        return {}
    weights = [kind.load(now_ms) for kind in pattern.kinds]
    kind = rng.choices(pattern.kinds, weights)[0]
    return {"priority": kind.priority, "goal_ms": kind.goal_ms}


def _within(now_ms, start_s, end_s):
    return start_s * 1000 <= now_ms < end_s * 1000


def _burst(factor):
    return Pattern(load=lambda now_ms: factor if _within(now_ms, 8, 14) else USUAL_LOAD)


patterns["burst of 1.3"] = _burst(1.3)
patterns["burst of 2"] = _burst(2.0)
patterns["burst of 4"] = _burst(4.0)
patterns["no steps for 6 s"] = Pattern(
    is_stalled=lambda now_ms, number: _within(now_ms, 8, 14)
)
patterns["group closed for 6 s"] = Pattern(
    is_closed=lambda now_ms, number: _within(now_ms, 8, 14)
)
patterns["restart of everything"] = Pattern(
    gateways_up=lambda now_ms: not _within(now_ms, 10, 12)
)
patterns["one customer at ten times its share"] = Pattern(
    load=lambda now_ms: 1.14, large_customer_factor=10.0
)
patterns["fair shares beside one customer at ten times its share"] = Pattern(
    load=lambda now_ms: 1.14, large_customer_factor=10.0, fair_customers=True
)
patterns["callers that repeat at once"] = Pattern(
    load=lambda now_ms: 1.2 if _within(now_ms, 8, 16) else USUAL_LOAD,
    impatient_ratio=0.3,
)
patterns["shift between data centres"] = Pattern(
    load=lambda now_ms: 0.8,
    moves_to=lambda rng, now_ms, data_centre: (
        "dc-b"
        if data_centre == "dc-a" and _within(now_ms, 8, 16) and rng.random() < 0.8
        else data_centre
    ),
)
patterns["half of the targets slow"] = Pattern(
    groups_count=0,
    pace=lambda now_ms, number: (
        4.0 if number % 2 == 0 and _within(now_ms, 8, 16) else 1.0
    ),
)
patterns["targets that fail in good health"] = Pattern(
    groups_count=0,
    failing_ratio=lambda now_ms, number: (
        0.6 if number < 3 and _within(now_ms, 6, 18) else 0.0
    ),
)
# Each target leaves for 2 s, one after the other.
patterns["release"] = Pattern(
    groups_count=0,
    load=lambda now_ms: 0.8,
    is_leaving=lambda now_ms, number: _within(now_ms, 4 + 2 * number, 6 + 2 * number),
)
patterns["two overlapping cuts"] = Pattern(
    groups_count=2,
    is_closed=lambda now_ms, number: (
        _within(now_ms, 8, 13) if number % 2 else _within(now_ms, 11, 16)
    ),
)
patterns["after an overload"] = Pattern(
    load=lambda now_ms: 2.0 if _within(now_ms, 4, 12) else 0.7
)


BURST_START_MS, BURST_END_MS = 8000.0, 14_000.0


def with_kinds(*, burst, **fields):
    """Return a pattern of three kinds of requests, the least urgent with a burst.

    Args:
        burst: How many times its usual rate the least urgent kind has in the burst.
        fields: Further fields of the ``Pattern``.
    """

    def least_urgent(now_ms):
        return 0.35 * (burst if BURST_START_MS <= now_ms < BURST_END_MS else 1.0)

    kinds = (
        Kind(priority=0, goal_ms=GOAL_MS, load=lambda now_ms: 0.25),
        Kind(priority=1, goal_ms=GOAL_MS, load=lambda now_ms: 0.25),
        Kind(priority=2, goal_ms=2.5 * GOAL_MS, load=least_urgent),
    )
    return Pattern(kinds=kinds, **fields)


LEAST_URGENT_BURST = 2.5
# The same patterns without their burst, by name.
patterns_without_burst = {}


def _add_with_kinds(name, **fields):
    patterns[name] = with_kinds(burst=LEAST_URGENT_BURST, **fields)
    patterns_without_burst[name] = with_kinds(burst=1.0, **fields)


_add_with_kinds("the least urgent kind at 2.5 times its rate")
# One of the targets leaves for 2 s at a time, from before to after the burst.
_add_with_kinds(
    "the least urgent kind beside a release",
    groups_count=0,
    is_leaving=patterns["release"].is_leaving,
)
_add_with_kinds(
    "the least urgent kind beside a lost gateway",
    is_lost=lambda now_ms, number: number == 2 and _within(now_ms, 10, 13),
)
_add_with_kinds("the least urgent kind at 46 gateways", gateways_count=46)
