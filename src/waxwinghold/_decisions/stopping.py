"""Decides until when a stopping gateway takes requests and passes them on.

It handles requests that waited for a slot or were rejected by a target during a planned
stop, and requests that usually take longer than the rest of the grace: passed on, they
were cut off at its end.
``tests.test_decisions_stopping`` and ``tests.test_gateway_stop`` replay it.
"""

from dataclasses import dataclass

# Time for the platform to stop sending callers: it checks the readiness every second
# and reacts to the second failed check.
ACCEPT_LIMIT_MS = 2600.0
# The rest of the grace is for the answers of what was passed on.
ACCEPT_SHARE = 1 / 3
# Between the last answer of a target and the kill; the gateway's own answers to the
# other requests are written in the first part of it.
ANSWER_MARGIN_MS = 400.0
END_MARGIN_MS = 200.0

DURATION_SMOOTHING_RATIO = 0.1  # Averages over about the last ten requests.


class UsualDuration:
    """Measures how long the requests of a route take, from arrival to the answer's end.

    Attributes:
        usual_ms: The mean duration and the mean deviation from it, added; 0 if none is
            known.
    """

    def __init__(self):
        self._mean_ms = None
        self._deviation_ms = 0.0

    @property
    def usual_ms(self):
        return (self._mean_ms or 0.0) + self._deviation_ms

    def record(self, duration_ms):
        """Record one answered request."""
        if self._mean_ms is None:
            self._mean_ms = duration_ms
            return
        difference_ms = duration_ms - self._mean_ms
        self._mean_ms += DURATION_SMOOTHING_RATIO * difference_ms
        self._deviation_ms += DURATION_SMOOTHING_RATIO * (
            abs(difference_ms) - self._deviation_ms
        )


@dataclass(frozen=True, kw_only=True)
class StopTimes:
    """The steps of a planned stop, in milliseconds of the process's clock.

    Args:
        pass_until_ms: Until when requests are taken, and passed on to targets unless
            they may have run already.
        answer_until_ms: When requests that have no answer get the gateway's own.
        end_ms: When the process ends in any case.
    """

    pass_until_ms: float
    answer_until_ms: float
    end_ms: float

    def may_pass(self, *, now_ms, usual_ms, request_end_ms):
        """Return whether to pass on a request that has not run.

        Args:
            usual_ms: How long such a request usually takes.
            request_end_ms: When its deadline or its route's time-out ends it.
        """
        answered_ms = min(now_ms + usual_ms, request_end_ms)
        return now_ms < self.pass_until_ms and answered_ms <= self.answer_until_ms


def stop_times(*, asked_ms, grace_ms):
    """Return the ``StopTimes`` of a planned stop.

    Args:
        asked_ms: When the process was asked to stop.
        grace_ms: Time from then until it is killed.
    """
    pass_ms = min(ACCEPT_LIMIT_MS, ACCEPT_SHARE * grace_ms)
    return StopTimes(
        pass_until_ms=asked_ms + pass_ms,
        answer_until_ms=asked_ms + max(pass_ms, grace_ms - ANSWER_MARGIN_MS),
        end_ms=asked_ms + max(pass_ms, grace_ms - END_MARGIN_MS),
    )
