"""Generates traces from a seed: demand for experts and requests of callers."""

import math
import random
from dataclasses import dataclass

EXPERTS_COUNT = 64
DAY_MINUTES = 1440


def expert_demand(*, seed, minutes_count=DAY_MINUTES, zipf=0.8, drift=0.02):
    """Return the demand for each expert, minute by minute.

    Three topics share the day: sizing in the morning, care notes at night and
    privilege drafting in the afternoon. Each topic has its own popular experts.
    In addition, the popularity of every expert drifts randomly.

    Args:
        seed: Seed of the trace.
        minutes_count: Number of sampled minutes, evenly spread over the day.
        zipf: Exponent of the Zipf popularity of experts within a topic.
        drift: Standard deviation of the random change of the logarithm of the
            popularity from one sampled minute to the next.
    """
    rng = random.Random(seed)
    topics = [_topic(rng, zipf) for _ in range(3)]
    drifts = [0.0] * EXPERTS_COUNT
    trace = []
    for minute in range(minutes_count):
        weights = _topic_weights(minute / minutes_count)
        drifts = [0.995 * value + rng.gauss(0, drift) for value in drifts]
        trace.append(
            tuple(
                sum(w * topic[expert] for w, topic in zip(weights, topics))
                * math.exp(drifts[expert])
                for expert in range(EXPERTS_COUNT)
            )
        )
    return trace


def _topic(rng, zipf):
    popularity = [(index + 1) ** -zipf for index in range(EXPERTS_COUNT)]
    rng.shuffle(popularity)
    return popularity


def _topic_weights(part_of_day):
    """Return the weight of each topic at a time of the day, changing smoothly."""
    peaks = (0.25, 0.9, 0.6)
    raw = [
        math.exp(-(((part_of_day - peak + 0.5) % 1 - 0.5) ** 2) / 0.02)
        for peak in peaks
    ]
    floor = 0.05
    total = sum(raw) + floor * len(raw)
    return [(value + floor) / total for value in raw]


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A kind of traffic and the faults of the targets during it.

    Args:
        name: Name of the scenario; it is part of the seed of the trace.
        load_ratio: Offered load relative to the capacity of the targets.
        steps_mean_count: Mean length of answers in steps; lengths are
            exponentially distributed.
        prefixes_count: Number of prompt prefixes in use, with Zipf popularity.
        large_share: Share of the normal traffic that comes from three large
            customers; seven small ones send the rest.
        burst_ratio: Extra traffic of ``BURST_CUSTOMER`` in the middle third of
            the trace, relative to the normal traffic of all customers.
        burst_lasts: Whether the extra traffic lasts for the whole trace.
        slow_targets_count: Number of targets whose steps take three times as
            long.
        late_targets_count: Number of targets whose reports are four seconds
            late.
        pause: Whether half of the targets start no requests for five seconds.
    """

    name: str
    load_ratio: float = 0.75
    steps_mean_count: float = 60.0
    prefixes_count: int = 200
    large_share: float = 0.5
    burst_ratio: float = 0.0
    burst_lasts: bool = False
    slow_targets_count: int = 0
    late_targets_count: int = 0
    pause: bool = False


BURST_CUSTOMER = "customer-9"

SCENARIOS = (
    Scenario(name="morning sizing", steps_mean_count=30.0, prefixes_count=60),
    Scenario(name="night care notes", load_ratio=0.5, steps_mean_count=120.0),
    Scenario(name="privilege drafting", load_ratio=0.85, prefixes_count=1000),
    Scenario(name="large customers", large_share=0.9),
    Scenario(name="burst", load_ratio=0.6, burst_ratio=0.5),
    Scenario(name="slow target", load_ratio=0.65, slow_targets_count=1),
    Scenario(name="late reports", late_targets_count=1),
    Scenario(name="brown-out", load_ratio=0.6, pause=True),
)


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a trace.

    Args:
        at_ms: Arrival time in milliseconds from the start of the trace.
        customer: The customer.
        data_centre: Data centre of the entry that receives the request.
        prefix: Prompt prefix.
        steps_count: Length of the answer in steps.
        priority: Priority of the request.
    """

    at_ms: float
    customer: str
    data_centre: str
    prefix: str
    steps_count: int
    priority: int


def request_trace(scenario, *, seed, duration_ms, rate_per_second, data_centres):
    """Return the arrivals of a scenario, sorted by time.

    Args:
        scenario: The ``Scenario``.
        seed: Seed of the trace.
        duration_ms: Length of the trace.
        rate_per_second: Rate of the normal traffic.
        data_centres: Data centres of the callers, chosen with equal
            probability.
    """
    rng = random.Random(f"{scenario.name} {seed}")
    customers = [f"customer-{number}" for number in range(10)]
    small_share = (1 - scenario.large_share) / 7
    weights = [scenario.large_share / 3] * 3 + [small_share] * 7
    prefixes = [f"{number:016x}" for number in range(scenario.prefixes_count)]
    popularity = [1 / (index + 1) for index in range(scenario.prefixes_count)]
    arrivals = []
    now_ms = 0.0
    while True:
        is_middle = duration_ms / 3 <= now_ms < 2 * duration_ms / 3
        extra = scenario.burst_ratio if is_middle or scenario.burst_lasts else 0.0
        now_ms += rng.expovariate(rate_per_second * (1 + extra)) * 1000
        if now_ms >= duration_ms:
            return arrivals
        customer = rng.choices(customers, weights)[0]
        if rng.random() < extra / (1 + extra):
            customer = BURST_CUSTOMER
        steps = rng.expovariate(1 / scenario.steps_mean_count)
        arrivals.append(
            Arrival(
                at_ms=now_ms,
                customer=customer,
                data_centre=rng.choice(data_centres),
                prefix=rng.choices(prefixes, popularity)[0],
                steps_count=1 + int(steps),
                priority=rng.choice((0, 1, 1, 2)),
            )
        )
