"""Compares the choice policies on every trace, over several seeds.

Run it with ``python -m waxwinghold_bench.policy_bench``.
"""

import statistics

import fire

from waxwinghold._policy import choice_policy
from waxwinghold._tool.reports import text_table

from .replay import Replay
from .traces import BURST_CUSTOMER, SCENARIOS, Scenario

WITHOUT_BURST = Scenario(name="alone", load_ratio=0.54, large_share=0.3)
WITH_BURST = Scenario(
    name="beside one at ten times its share",
    load_ratio=WITHOUT_BURST.load_ratio,
    large_share=WITHOUT_BURST.large_share,
    burst_ratio=1.11,
    burst_lasts=True,
)
CUSTOMER_HEADERS = (
    "queue",
    "seed",
    "other customers",
    "first token ms p95",
    "whole answer ms p95",
)
HEADERS = (
    "trace",
    "policy",
    "wait ms p50",
    "p95",
    "p99",
    "first token ms p50",
    "p95",
    "p99",
    "busiest/mean",
    "prefix hits",
    "expired",
)
MEASURES = (
    lambda result: result.wait_ms(50),
    lambda result: result.wait_ms(95),
    lambda result: result.wait_ms(99),
    lambda result: result.first_token_ms(50),
    lambda result: result.first_token_ms(95),
    lambda result: result.first_token_ms(99),
    lambda result: result.busiest_ratio,
    lambda result: result.hits_ratio,
    lambda result: result.expired_count,
)


def main(*, seeds_count=3, duration_s=30):
    """Print a table of the policies and a table of the effect on other customers.

    The values of the first table are means over the seeds.

    Args:
        seeds_count: Number of seeds for each trace and policy.
        duration_s: Length of each trace in seconds.
    """
    rows = []
    for scenario in SCENARIOS:
        for policy in choice_policy.names():
            results = [
                Replay(
                    scenario=scenario,
                    policy=policy,
                    seed=seed,
                    duration_ms=duration_s * 1000.0,
                ).run()
                for seed in range(seeds_count)
            ]
            means = [statistics.mean(map(measure, results)) for measure in MEASURES]
            cells = [f"{mean:.1f}" for mean in means[:6]]
            cells += [f"{mean:.3f}" for mean in means[6:8]] + [f"{means[8]:.0f}"]
            rows.append((scenario.name, policy, *cells))
    print(text_table(HEADERS, rows))
    print(text_table(CUSTOMER_HEADERS, list(_customer_rows(seeds_count, duration_s))))


def _customer_rows(seeds_count, duration_s):
    """Yield the latencies of the other customers with and without a burst."""
    for queue in ("fifo", "fair"):
        for seed in range(seeds_count):
            for scenario in (WITHOUT_BURST, WITH_BURST):
                result = Replay(
                    scenario=scenario,
                    policy="weighed",
                    seed=seed,
                    duration_ms=duration_s * 1000.0,
                    queue=queue,
                ).run()
                latencies_ms = result.other_customers_ms(BURST_CUSTOMER, 95)
                cells = [f"{latency_ms:.0f}" for latency_ms in latencies_ms]
                yield (queue, seed, scenario.name, *cells)


if __name__ == "__main__":
    fire.Fire(main)
