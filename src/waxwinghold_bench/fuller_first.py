"""Evaluates a choice policy that fills the fullest target first.

Run it with ``python -m waxwinghold_bench.fuller_first``. The idea is from a
matchmaking paper that takes open seats "in fuller rooms" before emptier ones. A
room corresponds to a target and a seat to one of its slots. The product does not
contain this policy: see ``docs/design/related-work.md``.
"""

import fire

from waxwinghold._policy import ChoicePolicy, choice_policy

from . import policy_bench


@choice_policy("fuller_first")
class FullerFirst(ChoicePolicy):
    """Chooses the fullest candidate with a free slot, else the emptiest."""

    def _choose(self, usable, *, request, now_ms):
        with_free_slot = [item for item in usable if _load(item) < item.slots_count]
        if with_free_slot:
            return max(with_free_slot, key=_load)
        return min(usable, key=_load)


def _load(candidate):
    reported = candidate.report
    reported_count = reported.waiting_count + reported.running_count if reported else 0
    return max(reported_count, candidate.local_in_flight_count)


if __name__ == "__main__":
    fire.Fire(policy_bench.main)
