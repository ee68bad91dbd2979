"""Choice of the target for an attempt: the interface and baseline policies."""

import abc
import random
from collections.abc import Sequence
from dataclasses import dataclass

from .._messages import Report
from .registry import Registry

DEFAULT_SERVICE_TIME_MS = 50.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """What one entry knows of a target that could serve a request.

    Creating candidates costs more than choosing among them, so an entry keeps
    them and replaces only those that have changed.

    Args:
        name: The target's name.
        data_centre: The target's data centre.
        slots_count: Requests that the target can run at once.
        local_in_flight_count: Requests of this entry in flight at the target.
        in_flight_at_report_count: ``local_in_flight_count`` at the time when
            ``report`` arrived: this entry's part of the reported load.
        report: The target's last report; ``None`` before the first one.
        report_at_ms: Monotonic time at which the report arrived, in milliseconds.
        link_delay_ms: One-way delay to the target, in milliseconds.
        healthy: Whether both the link and the target are healthy.
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
    """The properties of a request that a policy uses.

    Args:
        data_centre: The entry's data centre.
        priority: Priority of the request; 0 is the most urgent.
        prefix: Digest of the prompt's beginning; empty for a plain call.
        steps_count: Engine steps that the request is expected to take.
        tried: Names of targets that the request was already sent to.
        required_target: Name of the only target that may get the request;
            empty for any.
    """

    data_centre: str
    priority: int = 1
    prefix: str = ""
    steps_count: float = 0.0
    tried: frozenset[str] = frozenset()
    required_target: str = ""


class ChoicePolicy(abc.ABC):
    """Base class of choice policies; filters out candidates that may not be chosen.

    Args:
        rng: Source of all random numbers; a fixed seed makes the choices
            repeatable.
    """

    def __init__(self, *, rng=None):
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[Candidate], *, request: ChoiceRequest, now_ms: float
    ) -> Candidate | None:
        """Return the candidate for the next attempt.

        Args:
            candidates: Targets of the requested service and version that
                take work.
            request: The request to be sent.
            now_ms: Monotonic time, in milliseconds.

        Returns:
            The chosen candidate, or ``None`` if no candidate may be chosen.
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
        """Return how long a new request is expected to wait in the target's queue."""
        return candidate.report.queue_wait_ms if candidate.report else 0.0

    @abc.abstractmethod
    def _choose(self, usable, *, request, now_ms):
        """Return one of the ``usable`` candidates; the list is not empty."""


choice_policy = Registry(kind="choice")


@choice_policy("round_robin")
class RoundRobin(ChoicePolicy):
    """Chooses the candidates in turn, regardless of their load."""

    def __init__(self, *, rng=None):
        super().__init__(rng=rng)
        self._turn = self._rng.randrange(1 << 16)

    def _choose(self, usable, *, request, now_ms):
        self._turn += 1
        return usable[self._turn % len(usable)]


@choice_policy("least_reported")
class LeastReported(ChoicePolicy):
    """Chooses the candidate with the least load in its last report."""

    def _choose(self, usable, *, request, now_ms):
        return min(usable, key=reported_load_ratio)


def reported_load_ratio(candidate):
    """Return the number of reported requests per slot; 0 without a report."""
    if candidate.report is None:
        return 0.0
    return reported_count(candidate.report) / candidate.slots_count


def reported_count(report):
    """Return the number of running and waiting requests in ``report``."""
    return report.waiting_count + report.running_count
