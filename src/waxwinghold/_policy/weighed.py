"""Target choice by the expected time to the first token.

Three things keep entries from crowding the target that looked idle last: an
entry counts its own requests exactly, it trusts the rest of a report less the
older it is, and it compares only a few targets drawn at random.
"""

import hashlib
import math
from collections import OrderedDict

from .choice import (
    DEFAULT_SERVICE_MS,
    ChoicePolicy,
    choice_policy,
    reported_count,
)

TRUST_DECAY_MS = 2000.0
MEAN_SMOOTHING_RATIO = 0.02
PREFIXES_LIMIT_COUNT = 4096
HOME_SAVING_RATIO = 0.5


@choice_policy("weighed")
class WeighedChoice(ChoicePolicy):
    """Takes the least expected time to the first token among a few targets.

    Args:
        rng: Source of every random draw.
        near_draws_count: Targets drawn in the entry's own data centre.
        far_draws_count: Targets drawn in other data centres.
        prefill_ms: Time that a cached prompt prefix saves.
        away_penalty_ms: Price of leaving the data centre, beyond the delay.
    """

    def __init__(
        self,
        *,
        rng=None,
        near_draws_count=2,
        far_draws_count=1,
        prefill_ms=50.0,
        away_penalty_ms=2.0,
    ):
        super().__init__(rng=rng)
        self._near_draws_count = near_draws_count
        self._far_draws_count = far_draws_count
        self._prefill_ms = prefill_ms
        self._away_penalty_ms = away_penalty_ms
        self._mean_steps_count = 0.0
        self._mean_others_ratio = 0.0
        self._sent_prefixes = OrderedDict()

    def wait_ms(self, candidate, *, now_ms):
        """Return the expected wait of a new request in the candidate's queue."""
        load = self._load(candidate, now_ms=now_ms)
        excess = max(0.0, load + 1 - candidate.slots_count)
        return excess / candidate.slots_count * self._service_ms(candidate)

    def _choose(self, usable, *, request, now_ms):
        self._learn_steps(request.steps_count)
        home = self._prefix_home(usable, request=request)
        drawn = self._draw(usable, request=request)
        if home is not None:
            drawn.append(home)
        for candidate in drawn:
            self._learn_others(candidate)

        def cost_ms(candidate):
            cost = self._first_token_ms(candidate, request=request, now_ms=now_ms)
            return cost - (candidate is home) * self._prefill_ms * HOME_SAVING_RATIO

        best = min(drawn, key=cost_ms)
        self._remember(request.prefix, best.name)
        return best

    def _draw(self, usable, *, request):
        near = [one for one in usable if one.data_centre == request.data_centre]
        far = [one for one in usable if one.data_centre != request.data_centre]
        if not near:
            near, far = far, []
        drawn = self._sample(near, self._near_draws_count)
        drawn += self._sample(far, self._far_draws_count)
        return drawn

    def _sample(self, candidates, count):
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _prefix_home(self, usable, *, request):
        """Return where this entry sent the prefix, or where all would send it."""
        if not request.prefix:
            return None
        sent_to = self._sent_prefixes.get(request.prefix)
        for candidate in usable:
            if candidate.name == sent_to:
                return candidate
        near = [one for one in usable if one.data_centre == request.data_centre]
        return max(near or usable, key=lambda one: rendezvous(request.prefix, one.name))

    def _first_token_ms(self, candidate, *, request, now_ms):
        load_ratio = self._load(candidate, now_ms=now_ms) / candidate.slots_count
        step_ms = candidate.report.step_ms if candidate.report else 0.0
        expected_ms = self.wait_ms(candidate, now_ms=now_ms)
        expected_ms += step_ms * (1 + load_ratio) + load_ratio
        expected_ms += 2 * candidate.link_delay_ms
        if candidate.data_centre != request.data_centre:
            expected_ms += self._away_penalty_ms
        if request.prefix and not self._has_prefix(candidate, request.prefix):
            expected_ms += self._prefill_ms
        return expected_ms

    def _has_prefix(self, candidate, prefix):
        if self._sent_prefixes.get(prefix) == candidate.name:
            return True
        return candidate.report is not None and prefix in candidate.report.prefixes

    def _load(self, candidate, *, now_ms):
        """Return the requests that the candidate is expected to hold now."""
        usual = self._mean_others_ratio * candidate.slots_count
        if candidate.report is None:
            return candidate.local_in_flight_count + usual
        trust = math.exp(-(now_ms - candidate.report_at_ms) / TRUST_DECAY_MS)
        others = trust * others_count(candidate) + (1 - trust) * usual
        return candidate.local_in_flight_count + others

    def _service_ms(self, candidate):
        if candidate.report is None or not candidate.report.step_ms:
            return DEFAULT_SERVICE_MS
        return max(1.0, self._mean_steps_count) * candidate.report.step_ms

    def _learn_steps(self, steps_count):
        if not self._mean_steps_count:
            self._mean_steps_count = steps_count
        change = steps_count - self._mean_steps_count
        self._mean_steps_count += MEAN_SMOOTHING_RATIO * change

    def _learn_others(self, candidate):
        if candidate.report is None:
            return
        ratio = others_count(candidate) / candidate.slots_count
        change = ratio - self._mean_others_ratio
        self._mean_others_ratio += MEAN_SMOOTHING_RATIO * change

    def _remember(self, prefix, name):
        if not prefix:
            return
        self._sent_prefixes[prefix] = name
        self._sent_prefixes.move_to_end(prefix)
        if len(self._sent_prefixes) > PREFIXES_LIMIT_COUNT:
            self._sent_prefixes.popitem(last=False)


def others_count(candidate):
    """Return the reported requests that other entries had sent."""
    reported = reported_count(candidate.report)
    return max(0, reported - candidate.in_flight_at_report_count)


def rendezvous(key, name):
    """Return the weight of ``name`` for ``key``; the highest weight wins."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()
