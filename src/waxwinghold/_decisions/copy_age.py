"""Decides how old a gateway's copy of the published state may get.

It handles a reader that loses its view of the store in any way: cut off, refused,
silent, frozen or killed. The gateways that it keeps up to date cannot know when that
happened, so they read the store themselves before a change that the reader has missed
must take effect. ``tests.test_gateway_readers`` replays it.
"""

from dataclasses import dataclass

# Share of the limit on the age of keys that the other limits may use. The rest is for
# reading the store before requests with keys have to be rejected.
KEYS_SHARE = 0.6
SHORTEST_LIMIT_MS = 1400.0  # With a shorter one, readers would call without a pause.
READ_MS = 500.0  # About 100 answers of the store.
LARGE_READ_MS = 1100.0  # The same for a large configuration over a narrow link.
ASK_INTERVAL_MS = 300.0
LATE_MS = 200.0  # Of answers and timers of a busy gateway.


@dataclass(frozen=True, kw_only=True)
class CopyLimits:
    """Time limits on the copies of the published state.

    Args:
        own_read_age_ms: Age at which a follower reads the store itself.
        read_wait_ms: Time for which a reader lets the store hold a call. The age of its
            copy counts from the start of the last answered call and reaches twice this
            time; with ``ASK_INTERVAL_MS``, that of a follower's copy stays below
            ``own_read_age_ms``.
        reader_age_ms: A gateway that stays the reader has a younger copy at the start
            of each call. With an older one, it has only just become the reader.
        large_wait_ms: Time from the moment at which a follower hears of large changes
            until it reads the store instead of waiting for them.
        large_age_ms: The age of its copy at which it does so in any case.
    """

    own_read_age_ms: float
    read_wait_ms: float
    reader_age_ms: float
    large_wait_ms: float
    large_age_ms: float


def copy_limits(*, in_force_limits_ms, keys_limit_ms):
    """Return the ``CopyLimits`` with which every change is in force in time.

    Args:
        in_force_limits_ms: For each kind of change, the time from its acknowledgement
            until it has to be in force everywhere. One copy holds all kinds, so the
            shortest counts.
        keys_limit_ms: Highest age of a copy with which keys are accepted.
    """
    limit_ms = min(*in_force_limits_ms, KEYS_SHARE * keys_limit_ms)
    limit_ms = max(SHORTEST_LIMIT_MS, limit_ms)
    own_read_age_ms = limit_ms - READ_MS
    read_wait_ms = (own_read_age_ms - ASK_INTERVAL_MS - LATE_MS) / 2
    return CopyLimits(
        own_read_age_ms=own_read_age_ms,
        read_wait_ms=read_wait_ms,
        reader_age_ms=read_wait_ms + 2 * LATE_MS,
        large_wait_ms=max(0.0, limit_ms - LARGE_READ_MS),
        large_age_ms=limit_ms + READ_MS,
    )
