"""Decides how long a request waits for a slot, and whether it is sent once more.

It handles a stalled group, whose callers would all be sent to the next target, and
callers that leave while they wait. ``tests.test_decisions_sends`` and
``tests.test_decisions_replay`` replay both.
"""

from dataclasses import dataclass

# The longest time in the queue, as a share of the pause after which the caller of a
# stream leaves; with a later slot, the first event would be too late.
STREAM_QUEUE_SHARE = 0.88
# The same as a share of the remaining time; leaves the caller time to retry and be
# served.
QUEUE_SHARE = 0.25
# The same for callers that cannot retry later; leaves time to be served.
LAST_CHANCE_QUEUE_SHARE = 0.5
# With less than this share of its whole time left, the request is a retry.
LAST_CHANCE_TIME_SHARE = 0.9
RESUME_QUEUE_LIMIT_MS = 600.0  # The rest of the gap after a stream was interrupted.
SENDS_LIMIT_COUNT = 4  # Includes rejected sends, which did not run.
SHORTEST_SEND_MS = 30.0  # A send with less time left cannot be answered.


@dataclass(frozen=True, kw_only=True)
class QueueLimit:
    """How long a request may wait for a slot.

    Args:
        limit_ms: The longest time in the queue from now on.
        last_chance: Whether its caller has too little time left to retry later.
    """

    limit_ms: float
    last_chance: bool


def queue_limit(*, left_ms, whole_ms, waited_ms=0.0, gap_ms=None, resumes=False):
    """Return the ``QueueLimit`` of a request.

    Args:
        left_ms: Time until its deadline or the route's time-out.
        whole_ms: The same when its caller first asked.
        waited_ms: Time since the request was read.
        gap_ms: For a stream, the pause after which its caller leaves.
        resumes: Whether its caller already has a part of the stream.
    """
    last_chance = left_ms < LAST_CHANCE_TIME_SHARE * whole_ms
    limit_ms = left_ms * (LAST_CHANCE_QUEUE_SHARE if last_chance else QUEUE_SHARE)
    if resumes:
        limit_ms = min(limit_ms, RESUME_QUEUE_LIMIT_MS)
    elif gap_ms is not None:
        limit_ms = min(limit_ms, STREAM_QUEUE_SHARE * gap_ms - waited_ms)
    return QueueLimit(limit_ms=limit_ms, last_chance=last_chance or resumes)


def may_send_again(
    *,
    sends_count,
    left_ms,
    may_have_run,
    runs_count,
    runs_limit_count,
    is_repeatable,
):
    """Return whether a request whose last send failed may be sent once more.

    The retry budget and suspected requests are checked beside this.

    Args:
        sends_count: Sends so far, rejected ones included.
        left_ms: Time until its deadline or the route's time-out.
        may_have_run: Whether any target may have run it.
        runs_count: Targets that may have run it.
        runs_limit_count: Targets that may run it.
        is_repeatable: Whether it may run more than once.
    """
    if sends_count >= SENDS_LIMIT_COUNT or left_ms <= SHORTEST_SEND_MS:
        return False
    return not may_have_run or (is_repeatable and runs_count < runs_limit_count)
