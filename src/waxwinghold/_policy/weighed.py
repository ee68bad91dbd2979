"""Target choice by the expected time to the first token.

Three rules keep entries from all sending to the target that last reported
little load:

- An entry counts its own requests exactly and gives the rest of a report less
  weight the older it is.
- It compares only the targets that it has sent the least work to.
- The work that a target got more than others is added to its expected time. A
  cached prefix or a low reported load therefore changes the even distribution
  only as far as it saves time.
"""

import heapq
import math
from collections import OrderedDict

from .._rendezvous import rendezvous_weight
from .choice import (
    DEFAULT_SERVICE_TIME_MS,
    ChoicePolicy,
    choice_policy,
    reported_count,
)

REPORT_DECAY_MS = 300.0
MEAN_SMOOTHING_RATIO = 0.02
PREFIXES_LIMIT_COUNT = 4096
BASE_LOAD_RATIO = 0.05
PREFIX_SAVING_RATIO = 0.5


@choice_policy("weighed")
class WeighedChoice(ChoicePolicy):
    """Chooses the least expected time to the first token among a few targets.

    Args:
        rng: Source of all random numbers.
        local_count: Targets compared in the entry's own data centre.
        remote_count: Targets compared in other data centres.
        prefill_ms: Time that a cached prompt prefix saves.
        remote_penalty_ms: Cost of sending to another data centre, in addition
            to the link delay.
        lead_ratio: Cost of each millisecond of a target's lead: how much more
            work this entry has sent to it than to the target with the least.
            Work is measured by the time that it takes in all slots of the target.
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
        """Return how long a new request is expected to wait in the target's queue."""
        load = self._load(candidate, now_ms=now_ms)
        # Requests that other entries sent since the report are unknown, so a
        # nearly full target may already be full.
        spread = math.sqrt(1 + max(0.0, load - candidate.local_in_flight_count))
        excess = expected_excess(load + 1 - candidate.slots_count, spread=spread)
        return excess / candidate.slots_count * self._service_time_ms(candidate)

    def _choose(self, usable, *, request, now_ms):
        self._update_mean_steps(request.steps_count)
        local = [
            candidate
            for candidate in usable
            if candidate.data_centre == request.data_centre
        ]
        remote = [
            candidate
            for candidate in usable
            if candidate.data_centre != request.data_centre
        ]
        leads_ms = self._leads_ms(local) | self._leads_ms(remote)
        compared = heapq.nsmallest(
            self._local_count, local, key=lambda candidate: leads_ms[candidate.name]
        )
        compared += heapq.nsmallest(
            self._remote_count, remote, key=lambda candidate: leads_ms[candidate.name]
        )
        prefix_target = self._prefix_target(usable, local or remote, request.prefix)
        if prefix_target is not None:
            compared.append(prefix_target)
        for candidate in compared:
            self._update_mean_loads(candidate)

        def cost_ms(candidate):
            cost = self._first_token_ms(candidate, request=request, now_ms=now_ms)
            cost += self._lead_ratio * leads_ms[candidate.name]
            return (
                cost
                - (candidate is prefix_target) * self._prefill_ms * PREFIX_SAVING_RATIO
            )

        best = min(compared, key=cost_ms)
        self._record_prefix(request.prefix, best.name)
        work_ms = max(1.0, request.steps_count) * self._step_ms(best)
        self._sent_work_ms[best.name] += work_ms / best.slots_count
        return best

    def _leads_ms(self, candidates):
        """Return each target's lead in sent work over the target with the least.

        New targets start at about the least work sent to any candidate.

        Returns:
            The lead in milliseconds, by the name of the target.
        """
        sent_ms = self._sent_work_ms
        present_ms = [
            sent_ms[candidate.name]
            for candidate in candidates
            if candidate.name in sent_ms
        ]
        least_ms = min(present_ms, default=0.0)
        for candidate in candidates:
            if candidate.name not in sent_ms:
                start_ms = least_ms + self._rng.random() * DEFAULT_SERVICE_TIME_MS
                sent_ms[candidate.name] = start_ms
        return {
            candidate.name: sent_ms[candidate.name] - least_ms
            for candidate in candidates
        }

    def _step_ms(self, candidate):
        """Return the reported step time; without one, the mean of all targets."""
        if candidate.report is not None and candidate.report.step_ms:
            return candidate.report.step_ms
        return self._mean_step_ms or 1.0

    def _prefix_target(self, usable, preferred, prefix):
        """Return the candidate that should have the prompt's prefix in its cache.

        That is the one to which this entry sent the prefix last. Without such a
        candidate, rendezvous hashing chooses one, the same for all entries.
        """
        if not prefix:
            return None
        previous_name = self._sent_prefixes.get(prefix)
        for candidate in usable:
            if candidate.name == previous_name:
                return candidate
        return max(
            preferred, key=lambda candidate: rendezvous_weight(prefix, candidate.name)
        )

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
        """Return the expected number of requests at the target now."""
        own_ratio = candidate.local_in_flight_count / candidate.slots_count
        # Other entries use the same policy: where this entry has many requests,
        # they are likely to have many too.
        relative_load = (own_ratio + BASE_LOAD_RATIO) / (
            self._mean_own_ratio + BASE_LOAD_RATIO
        )
        usual_count = self._mean_others_ratio * candidate.slots_count * relative_load
        if candidate.report is None:
            return candidate.local_in_flight_count + usual_count
        weight = math.exp(-(now_ms - candidate.report_at_ms) / REPORT_DECAY_MS)
        others_count = (
            weight * other_entries_requests_count(candidate)
            + (1 - weight) * usual_count
        )
        return candidate.local_in_flight_count + others_count

    def _service_time_ms(self, candidate):
        if not self._mean_steps_count:
            return DEFAULT_SERVICE_TIME_MS
        return self._mean_steps_count * self._step_ms(candidate)

    def _update_mean_steps(self, steps_count):
        if not self._mean_steps_count:
            self._mean_steps_count = steps_count
        change = steps_count - self._mean_steps_count
        self._mean_steps_count += MEAN_SMOOTHING_RATIO * change

    def _update_mean_loads(self, candidate):
        own_ratio = candidate.local_in_flight_count / candidate.slots_count
        change = own_ratio - self._mean_own_ratio
        self._mean_own_ratio += MEAN_SMOOTHING_RATIO * change
        if candidate.report is None:
            return
        ratio = other_entries_requests_count(candidate) / candidate.slots_count
        change = ratio - self._mean_others_ratio
        self._mean_others_ratio += MEAN_SMOOTHING_RATIO * change
        step_ms = candidate.report.step_ms
        usual_ms = self._mean_step_ms or step_ms
        self._mean_step_ms = usual_ms + MEAN_SMOOTHING_RATIO * (step_ms - usual_ms)

    def _record_prefix(self, prefix, name):
        if not prefix:
            return
        self._sent_prefixes[prefix] = name
        self._sent_prefixes.move_to_end(prefix)
        if len(self._sent_prefixes) > PREFIXES_LIMIT_COUNT:
            self._sent_prefixes.popitem(last=False)


def expected_excess(mean, *, spread):
    """Return the mean of ``max(0, x)`` for a normally distributed ``x``.

    Args:
        mean: Mean of ``x``.
        spread: Standard deviation of ``x``.
    """
    distance = mean / spread
    density = math.exp(-distance * distance / 2) / math.sqrt(2 * math.pi)
    return spread * density + mean * (1 + math.erf(distance / math.sqrt(2))) / 2


def other_entries_requests_count(candidate):
    """Return the number of reported requests that came from other entries."""
    reported = reported_count(candidate.report)
    return max(0, reported - candidate.in_flight_at_report_count)
