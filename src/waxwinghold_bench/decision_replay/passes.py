"""Replays groups whose passes lengthen with their running requests.

Run it with ``python -m waxwinghold_bench.decision_replay.passes``. It prints, for each
pattern, the shares of the streams on time, late and rejected without a limit and with
one, their credit and a bound.
"""

import fire
import logbook

from waxwinghold._decisions.pass_limit import GOAL_SHARE
from waxwinghold._tool.reports import text_table

from .pass_patterns import (
    BASE_MS,
    COUNTED_FROM_MS,
    COUNTED_UNTIL_MS,
    GAP_GOAL_MS,
    SLOPE_MS,
    best_credit,
    pass_patterns,
    stream_arrivals,
)
from .pass_world import FILL_LAST, LIMITED, UNLIMITED, replay_passes


def usage_ratios(pattern, outcome):
    """Return the running requests of each pass, relative to the exact limit, sorted.

    The exact limit is the number at which the mean pass has the wanted share of the
    goal. A gateway only knows an estimate.
    """
    wanted_ms = GOAL_SHARE * GAP_GOAL_MS - BASE_MS
    ratios = []
    for sample in outcome.samples:
        if COUNTED_FROM_MS <= sample.at_ms < COUNTED_UNTIL_MS:
            slope_ratio = pattern.slope_ratio(sample.at_ms, sample.group)
            limit = wanted_ms / (SLOPE_MS * slope_ratio)
            ratios.append(sample.running_count / limit)
    return sorted(ratios)


def percentile(values, percent):
    """Return a percentile of sorted values."""
    return values[int(percent / 100 * (len(values) - 1))]


def main(*, only="", seed=1):
    """Print the table.

    Args:
        only: Part of the names of the patterns to replay; empty for all.
        seed: Seed of the arrivals and of all choices.
    """
    rows = []
    with logbook.NullHandler().applicationbound():
        for name, pattern in pass_patterns.items():
            if only not in name:
                continue
            found = stream_arrivals(pattern, seed=seed)
            bound = best_credit(pattern, found)
            policies = [UNLIMITED, LIMITED]
            if pattern.groups_count > 1:
                policies.append(FILL_LAST)
            for policy in policies:
                outcome = replay_passes(pattern, found, policy=policy, seed=seed)
                ratios = usage_ratios(pattern, outcome)
                rows.append(
                    (
                        name,
                        policy,
                        f"{outcome.share('on time'):.3f}",
                        f"{outcome.share('late'):.3f}",
                        f"{outcome.share('rejected'):.3f}",
                        f"{outcome.credit:.3f}",
                        f"{bound:.3f}",
                        f"{percentile(ratios, 50):.2f}",
                        f"{percentile(ratios, 99):.2f}",
                        f"{ratios[-1]:.2f}",
                        str(outcome.full_sends_count),
                    )
                )
    headers = (
        "pattern",
        "policy",
        "on time",
        "late",
        "rejected",
        "credit",
        "bound",
        "running/limit p50",
        "p99",
        "max",
        "full sends",
    )
    print(text_table(headers, rows))


if __name__ == "__main__":
    fire.Fire(main)
