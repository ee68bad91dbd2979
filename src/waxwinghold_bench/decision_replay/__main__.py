"""Prints, for each load pattern, the credit of the naive policies, ours and a bound."""

import fire
import logbook

from waxwinghold._tool.reports import text_table

from .bound import best_credit
from .credit import Credit
from .patterns import arrivals, patterns
from .world import NAIVE, OURS, replay


def figures(name, *, seed=1):
    """Return the ``Credit`` of the naive policies, ours and the bound for a pattern."""
    pattern = patterns[name]
    found = arrivals(pattern, seed=seed)
    replayed = [
        Credit.of(replay(pattern, found, policies=policies, seed=seed))
        for policies in (NAIVE, OURS)
    ]
    return *replayed, best_credit(pattern, found)


def main(*, only="", seed=1):
    """Print the table.

    Args:
        only: Part of the names of the patterns to replay; empty for all.
        seed: Seed of the arrivals and of all choices.
    """
    rows = []
    with logbook.NullHandler().applicationbound():
        for name in patterns:
            if only not in name:
                continue
            naive, ours, bound = figures(name, seed=seed)
            rows.append(
                (
                    name,
                    *(f"{credit.score:.3f}" for credit in (naive, ours, bound)),
                    f"{ours.score / bound.score:.2f}",
                    *(f"{credit.whole:.3f}" for credit in (naive, ours, bound)),
                    *(f"{credit.worst:.3f}" for credit in (naive, ours, bound)),
                )
            )
    kinds = ("naive", "ours", "bound")
    headers = (
        "pattern",
        *kinds,
        "ours/bound",
        *(f"whole {kind}" for kind in kinds),
        *(f"worst {kind}" for kind in kinds),
    )
    print(text_table(headers, rows))


if __name__ == "__main__":
    fire.Fire(main)
