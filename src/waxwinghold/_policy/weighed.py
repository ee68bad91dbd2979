"""Target choice by the expected time to the first token.

Three things keep entries from crowding the target that looked idle last. An
entry counts its own requests exactly and trusts the rest of a report less the
older it is. It compares only the targets that it has sent least work to, and a
lead in that work counts as time, so that a cached prefix or a good report
bends the even spread only as far as it pays.
"""

import hashlib
import heapq
import math
from collections import OrderedDict

from .choice import (
    DEFAULT_SERVICE_MS,
    ChoicePolicy,
    choice_policy,
    reported_count,
)

TRUST_DECAY_MS = 300.0
MEAN_SMOOTHING_RATIO = 0.02
PREFIXES_LIMIT_COUNT = 4096
EVEN_RATIO = 0.05
HOME_SAVING_RATIO = 0.5


@choice_policy("weighed")
class WeighedChoice(ChoicePolicy):
    """Takes the least expected time to the first token among a few targets.

    Args:
        rng: Source of every random draw.
        local_count: Targets compared in the entry's own data centre.
        remote_count: Targets compared in other data centres.
        prefill_ms: Time that a cached prompt prefix saves.
        remote_penalty_ms: Price of leaving the data centre, beyond the delay.
        lead_ratio: Price of a target's lead in the work that this entry sent,
            for each millisecond that all its slots take for it.
    """

    def __init__(
        self,
        *,
        rng=None,
        local_count=3,
        remote_count=2,
        prefill_ms=50.0,
        remote_penalty_ms=2.0,
        lead_ratio=1.0,
    ):
        super().__init__(rng=rng)
        self._local_count = local_count
        self._remote_count = remote_count
        self._prefill_ms = prefill_ms
        self._remote_penalty_ms = remote_penalty_ms
        self._mean_steps_count = 0.0
        self._mean_others_ratio = 0.0
        self._mean_own_ratio = 0.0
        self._mean_step_ms = 0.0
        self._lead_ratio = lead_ratio
        self._sent_work_ms = {}
        self._sent_prefixes = OrderedDict()

    def wait_ms(self, candidate, *, now_ms):
        """Return the expected wait of a new request in the candidate's queue."""
        load = self._load(candidate, now_ms=now_ms)
        # What others sent since is unknown: a nearly full target may be full.
        spread = math.sqrt(1 + max(0.0, load - candidate.local_in_flight_count))
        excess = expected_excess(load + 1 - candidate.slots_count, spread=spread)
        return excess / candidate.slots_count * self._service_ms(candidate)

    def _choose(self, usable, *, request, now_ms):
        self._learn_steps(request.steps_count)
        near = [one for one in usable if one.data_centre == request.data_centre]
        far = [one for one in usable if one.data_centre != request.data_centre]
        leads_ms = self._leads_ms(near) | self._leads_ms(far)
        compared = heapq.nsmallest(
            self._local_count, near, key=lambda one: leads_ms[one.name]
        )
        compared += heapq.nsmallest(
            self._remote_count, far, key=lambda one: leads_ms[one.name]
        )
        home = self._prefix_home(usable, near or far, request.prefix)
        if home is not None:
            compared.append(home)
        for candidate in compared:
            self._learn_others(candidate)

        def cost_ms(candidate):
            cost = self._first_token_ms(candidate, request=request, now_ms=now_ms)
            cost += self._lead_ratio * leads_ms[candidate.name]
            return cost - (candidate is home) * self._prefill_ms * HOME_SAVING_RATIO

        best = min(compared, key=cost_ms)
        self._remember(request.prefix, best.name)
        work_ms = max(1.0, request.steps_count) * self._step_ms(best)
        self._sent_work_ms[best.name] += work_ms / best.slots_count
        return best

    def _leads_ms(self, candidates):
        """Return by name how much more work a target got than the one with least.

        Newcomers begin at the least.
        """
        sent_ms = self._sent_work_ms
        known = [sent_ms[one.name] for one in candidates if one.name in sent_ms]
        least_ms = min(known, default=0.0)
        for one in candidates:
            if one.name not in sent_ms:
                start_ms = least_ms + self._rng.random() * DEFAULT_SERVICE_MS
                sent_ms[one.name] = start_ms
        return {one.name: sent_ms[one.name] - least_ms for one in candidates}

    def _step_ms(self, candidate):
        """Return the target's step time, or the usual one before its report."""
        if candidate.report is not None and candidate.report.step_ms:
            return candidate.report.step_ms
        return self._mean_step_ms or 1.0

    def _prefix_home(self, usable, first, prefix):
        """Return where this entry sent the prefix, or where all would send it."""
        if not prefix:
            return None
        sent_to = self._sent_prefixes.get(prefix)
        for candidate in usable:
            if candidate.name == sent_to:
                return candidate
        return max(first, key=lambda one: rendezvous_weight(prefix, one.name))

    def _first_token_ms(self, candidate, *, request, now_ms):
        load_ratio = self._load(candidate, now_ms=now_ms) / candidate.slots_count
        step_ms = candidate.report.step_ms if candidate.report else 0.0
        expected_ms = self.wait_ms(candidate, now_ms=now_ms)
        expected_ms += step_ms * (1 + load_ratio) + load_ratio
        expected_ms += 2 * candidate.link_delay_ms
        if candidate.data_centre != request.data_centre:
            expected_ms += self._remote_penalty_ms
        if request.prefix and not self._has_prefix(candidate, request.prefix):
            expected_ms += self._prefill_ms
        return expected_ms

    def _has_prefix(self, candidate, prefix):
        if self._sent_prefixes.get(prefix) == candidate.name:
            return True
        return candidate.report is not None and prefix in candidate.report.prefixes

    def _load(self, candidate, *, now_ms):
        """Return the requests that the candidate is expected to hold now."""
        own_ratio = candidate.local_in_flight_count / candidate.slots_count
        # Other entries choose alike: where own requests pile up, theirs do.
        likeness = (own_ratio + EVEN_RATIO) / (self._mean_own_ratio + EVEN_RATIO)
        usual = self._mean_others_ratio * candidate.slots_count * likeness
        if candidate.report is None:
            return candidate.local_in_flight_count + usual
        trust = math.exp(-(now_ms - candidate.report_at_ms) / TRUST_DECAY_MS)
        others = trust * other_entries_count(candidate) + (1 - trust) * usual
        return candidate.local_in_flight_count + others

    def _service_ms(self, candidate):
        if not self._mean_steps_count:
            return DEFAULT_SERVICE_MS
        return self._mean_steps_count * self._step_ms(candidate)

    def _learn_steps(self, steps_count):
        if not self._mean_steps_count:
            self._mean_steps_count = steps_count
        change = steps_count - self._mean_steps_count
        self._mean_steps_count += MEAN_SMOOTHING_RATIO * change

    def _learn_others(self, candidate):
        own_ratio = candidate.local_in_flight_count / candidate.slots_count
        change = own_ratio - self._mean_own_ratio
        self._mean_own_ratio += MEAN_SMOOTHING_RATIO * change
        if candidate.report is None:
            return
        ratio = other_entries_count(candidate) / candidate.slots_count
        change = ratio - self._mean_others_ratio
        self._mean_others_ratio += MEAN_SMOOTHING_RATIO * change
        step_ms = candidate.report.step_ms
        usual_ms = self._mean_step_ms or step_ms
        self._mean_step_ms = usual_ms + MEAN_SMOOTHING_RATIO * (step_ms - usual_ms)

    def _remember(self, prefix, name):
        if not prefix:
            return
        self._sent_prefixes[prefix] = name
        self._sent_prefixes.move_to_end(prefix)
        if len(self._sent_prefixes) > PREFIXES_LIMIT_COUNT:
            self._sent_prefixes.popitem(last=False)


def expected_excess(mean, *, spread):
    """Return the mean of the part above 0 of a normally distributed number."""
    distance = mean / spread
    density = math.exp(-distance * distance / 2) / math.sqrt(2 * math.pi)
    return spread * density + mean * (1 + math.erf(distance / math.sqrt(2))) / 2


def other_entries_count(candidate):
    """Return the reported requests that other entries had sent."""
    reported = reported_count(candidate.report)
    return max(0, reported - candidate.in_flight_at_report_count)


def rendezvous_weight(key, name):
    """Return the weight of ``name`` for ``key``; the highest weight wins."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()
