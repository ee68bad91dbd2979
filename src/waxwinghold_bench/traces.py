"""Traces from a seed: demand for experts and requests of callers."""

import math
import random

EXPERTS_COUNT = 64
DAY_MINUTES = 1440


def expert_demand(*, seed, minutes_count=DAY_MINUTES, zipf=0.8, drift=0.02):
    """Return the demand for each expert, minute by minute.

    Three topics share the day: sizing in the morning, care notes at night and
    privilege drafting in the afternoon. Each has its own popular experts, and
    every expert's popularity wanders besides.

    Args:
        seed: Fixes the trace.
        minutes_count: Minutes of the day to cover, evenly spread.
        zipf: Exponent of the popularity within a topic.
        drift: Standard deviation of the wandering of the logarithm a minute.
    """
    rng = random.Random(seed)
    topics = [_topic(rng, zipf) for _ in range(3)]
    wander = [0.0] * EXPERTS_COUNT
    trace = []
    for minute in range(minutes_count):
        weights = _topic_weights(minute / minutes_count)
        wander = [0.995 * value + rng.gauss(0, drift) for value in wander]
        trace.append(
            tuple(
                sum(w * topic[expert] for w, topic in zip(weights, topics))
                * math.exp(wander[expert])
                for expert in range(EXPERTS_COUNT)
            )
        )
    return trace


def _topic(rng, zipf):
    popularity = [(place + 1) ** -zipf for place in range(EXPERTS_COUNT)]
    rng.shuffle(popularity)
    return popularity


def _topic_weights(part_of_day):
    """Return how much each topic is asked for, with a smooth change between."""
    peaks = (0.25, 0.9, 0.6)
    raw = [
        math.exp(-(((part_of_day - peak + 0.5) % 1 - 0.5) ** 2) / 0.02)
        for peak in peaks
    ]
    floor = 0.05
    total = sum(raw) + floor * len(raw)
    return [(value + floor) / total for value in raw]
