"""Decides until when a stopping gateway takes requests and passes them on.

It handles requests that waited for a slot or were rejected by a target during a planned
stop: passed on late, they were cut off with no answer at the end of the grace.
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
