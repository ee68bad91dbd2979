"""``make slopes``: how the cost of one process grows with the size of the fleet.

The parts ``entry`` and ``agent`` run the measured daemon as a child process, and
its peers are stand-ins in this process. The part ``streams`` runs a small fleet. No
fleet of the size that the project aims for is started.
"""

import asyncio
import json
import random
import time

import fire
import msgspec

from waxwinghold._messages import Chunk, Heartbeat, Submit, decode, encode
from waxwinghold._policy import (
    Candidate,
    ChoiceRequest,
    GroupShape,
    choice_policy,
    placement_policy,
)
from waxwinghold._sheet.model import PlacementWeights

from .daemon_slopes import agent_slope, entry_slopes, streams_slope
from .sheet_cost import median_ms
from .standin_peers import make_report
from .traces import expert_demand

DATA_CENTRE = "nadi"
NS_PER_US = 1000
CALLS_COUNT = 3000


def main(*, part="all"):
    """Print the measured slopes.

    Args:
        part: ``choice``, ``codec``, ``placement``, ``entry``, ``agent``,
            ``streams`` or ``all``.
    """
    parts = {
        "choice": choice_slope,
        "codec": codec_slope,
        "placement": placement_slope,
        "entry": lambda: asyncio.run(entry_slopes()),
        "agent": lambda: asyncio.run(agent_slope()),
        "streams": lambda: asyncio.run(streams_slope()),
    }
    for name, measure in parts.items():
        if part in ("all", name):
            measure()


def choice_slope():
    """Print the CPU time of one target choice by the number of known targets."""
    print("known targets | round robin | least reported | weighed  (us per choice)")
    for count in (8, 32, 128, 512):
        candidates = _candidates(count)
        times = [_choice_us(name, candidates) for name in _CHOICE_POLICIES]
        print(f"{count:13} | " + " | ".join(f"{value:8.1f}" for value in times))


_CHOICE_POLICIES = ("round_robin", "least_reported", "weighed")


def _candidates(count):
    report = make_report()
    return [
        Candidate(
            name=f"target-{number}",
            data_centre=DATA_CENTRE if number % 4 else "suva",
            slots_count=16,
            report=report,
        )
        for number in range(count)
    ]


def _choice_us(name, candidates):
    policy = choice_policy.make(name, rng=random.Random(1))
    requests = [
        ChoiceRequest(data_centre=DATA_CENTRE, prefix=f"{n:016x}", steps_count=200)
        for n in range(200)
    ]
    start_ns = time.process_time_ns()
    for number in range(CALLS_COUNT):
        request = requests[number % len(requests)]
        policy.choose(candidates, request=request, now_ms=number)
    return (time.process_time_ns() - start_ns) / CALLS_COUNT / NS_PER_US


def codec_slope():
    """Print the size of typical messages and the time to encode and decode one."""
    print("message | bytes | us to encode and decode")
    for name, message in _messages().items():
        frame = encode(message)
        start_ns = time.process_time_ns()
        for _ in range(CALLS_COUNT):
            decode(encode(message))
        spent_us = (time.process_time_ns() - start_ns) / CALLS_COUNT / NS_PER_US
        print(f"{name} | {len(frame)} | {spent_us:.1f}")


def _messages():
    heartbeat = Heartbeat(
        sequence=1000,
        echo_sequence=1000,
        now_ms=1_790_000_000_000,
        sheet_version=1200,
        sheet_digest="0" * 16,
    )
    submit = Submit(
        request_id="r" * 32,
        attempt=1,
        service="model-1-service",
        version="v1",
        call="ask",
        customer="customer-1",
        priority=1,
        deadline_at_ms=1_790_000_030_000.0,
        body=b"x" * 2000,
        content_type="application/json",
        digest="0" * 64,
        streamed=True,
    )
    token = json.dumps(" jacket")
    chunk = Chunk(request_id="r" * 32, attempt=1, offset=100, events=(token,))
    return {
        "heartbeat of an entry": heartbeat,
        "heartbeat of an agent": msgspec.structs.replace(
            heartbeat, report=make_report()
        ),
        "submit, body of 2000 bytes": submit,
        "chunk of one token": chunk,
    }


def placement_slope():
    """Print the CPU time of planning one layer by the number of ranks."""
    print("ranks x slots | ms to repair a plan, median of 30")
    weights = PlacementWeights(skew_weight=10, skew_limit=1.05)
    demands = iter(expert_demand(seed=1)[600:])
    for ranks, slots in ((16, 5), (64, 2), (64, 3)):
        shape = GroupShape(ranks_count=ranks, expert_slots_count=slots)
        policy = placement_policy.make("repair")
        plans = [
            policy.plan(demand=next(demands), shape=shape, weights=weights),
        ]

        def plan(policy=policy, shape=shape, plans=plans):
            arguments = {"demand": next(demands), "shape": shape, "weights": weights}
            plans.append(policy.plan(**arguments, current=plans[-1]))

        print(f"{ranks} x {slots} | {median_ms(plan, runs_count=30):.1f}")


if __name__ == "__main__":
    fire.Fire(main)
