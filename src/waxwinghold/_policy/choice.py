"""Choice of the target that gets an attempt: the interface and naive policies."""

import abc
import random
from collections.abc import Sequence
from dataclasses import dataclass

from .._messages import Report
from .registry import Registry

DEFAULT_SERVICE_MS = 50.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target that could serve a request, as one entry sees it.

    Building one costs more than choosing among them, so an entry keeps them
    and replaces the one that changed.

    Args:
        slots_count: Requests that the target may run at once.
        local_in_flight_count: Requests of this entry that the target holds now.
        in_flight_at_report_count: What ``local_in_flight_count`` was as
            ``report`` arrived; tells this entry's part of the reported load.
        report: The target's last report; ``None`` before the first one.
        report_at_ms: When the report arrived, on the clock of ``now_ms``.
        link_delay_ms: One-way delay to the target.
        healthy: Whether link and target are healthy.
    """

    name: str
    data_centre: str
    slots_count: int
    local_in_flight_count: int = 0
    in_flight_at_report_count: int = 0
    report: Report | None = None
    report_at_ms: float = 0.0
    link_delay_ms: float = 0.0
    healthy: bool = True


@dataclass(frozen=True, kw_only=True)
class ChoiceRequest:
    """What a policy needs to know of a request.

    Args:
        data_centre: Where the entry stands.
        priority: 0 is the most urgent.
        prefix: Digest of the prompt's prefix; empty for a plain call.
        steps_count: Engine steps that the request is expected to take.
        tried: Names of targets that had an attempt at this request.
        required_target: The only target that may get the request; empty for any.
    """

    data_centre: str
    priority: int = 1
    prefix: str = ""
    steps_count: float = 0.0
    tried: frozenset[str] = frozenset()
    required_target: str = ""


class ChoicePolicy(abc.ABC):
    """Base of the policies: sorts out who may be chosen at all.

    Args:
        rng: Source of every random draw, so that a seed fixes the choices.
    """

    def __init__(self, *, rng=None):
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[Candidate], *, request: ChoiceRequest, now_ms: float
    ) -> Candidate | None:
        """Return the candidate that gets the next attempt.

        Args:
            candidates: Targets of the right service and version that are not
                leaving.
            request: What is to be sent.
            now_ms: Monotonic time.

        Returns:
            The choice, or ``None`` if no candidate may get the request.
        """
        usable = [
            candidate
            for candidate in candidates
            if candidate.healthy
            and candidate.name not in request.tried
            and request.required_target in ("", candidate.name)
        ]
        if not usable:
            return None
        return self._choose(usable, request=request, now_ms=now_ms)

    def wait_ms(self, candidate: Candidate, *, now_ms: float) -> float:
        """Return the expected wait of a new request in the candidate's queue."""
        return candidate.report.queue_wait_ms if candidate.report else 0.0

    @abc.abstractmethod
    def _choose(self, usable, *, request, now_ms):
        """Return one of the ``usable`` candidates, of which there is one or more."""


choice_policy = Registry(kind="choice")


@choice_policy("round_robin")
class RoundRobin(ChoicePolicy):
    """Takes the candidates in turn, whatever their load."""

    def __init__(self, *, rng=None):
        super().__init__(rng=rng)
        self._turn = self._rng.randrange(1 << 16)

    def _choose(self, usable, *, request, now_ms):
        self._turn += 1
        return usable[self._turn % len(usable)]


@choice_policy("least_reported")
class LeastReported(ChoicePolicy):
    """Takes the candidate with the least load in its last report."""

    def _choose(self, usable, *, request, now_ms):
        return min(usable, key=reported_load_ratio)


def reported_load_ratio(candidate):
    """Return the reported requests for each slot; 0 without a report."""
    if candidate.report is None:
        return 0.0
    return reported_count(candidate.report) / candidate.slots_count


def reported_count(report):
    """Return the requests that ``report`` counts, waiting ones included."""
    return report.waiting_count + report.running_count
