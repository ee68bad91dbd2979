"""Tries an idea of the matchmaking paper: fill the fuller room first.

Run it with ``python -m waxwinghold_bench.fuller_first``. The paper takes open
seats "in fuller rooms" before emptier ones; here a room is a target and a seat
one of its slots. The policy is of the bench only: see
``docs/design/related-work.md``.
"""

import fire

from waxwinghold._policy import ChoicePolicy, choice_policy

from . import policy_bench


@choice_policy("fuller_first")
class FullerFirst(ChoicePolicy):
    """Takes the fullest candidate that has a free slot, else the emptiest."""

    def _choose(self, usable, *, request, now_ms):
        with_room = [one for one in usable if _load(one) < one.slots_count]
        if with_room:
            return max(with_room, key=_load)
        return min(usable, key=_load)


def _load(candidate):
    reported = candidate.report
    others = reported.waiting_count + reported.running_count if reported else 0
    return max(others, candidate.local_in_flight_count)


if __name__ == "__main__":
    fire.Fire(policy_bench.main)
