"""The budget of second sends that all gateways share."""

from .._registry import Registry

budget_policy = Registry(kind="budget")

RATIO_SHARE = 0.75  # Firsts are counted a window later where they were refused.
SLACK_SHARE = 0.6  # A restarted gateway begins with a new part of the slack.


@budget_policy("unlimited")
class Unlimited:
    """Allows every second send; the naive policy."""

    def __init__(self, *, ratio, slack_count, window_ms):
        pass

    def record_first(self, *, now_ms, gateways_count):
        """Count a first send."""

    def take(self, *, now_ms, gateways_count):
        """Return whether a second send may be made now, and count it if so."""
        return True


@budget_policy("shared")
class SharedBudget:
    """Takes an equal part of the fleet's slack, and a ratio of its own firsts.

    Answers: a group that stalls and rejects all that is sent to it, when every
    gateway would send everything again at once.

    Args:
        ratio: Second sends for each first one, over the fleet.
        slack_count: Second sends beyond that in a window, over the fleet.
        window_ms: Length of the window.
    """

    def __init__(self, *, ratio, slack_count, window_ms):
        self._ratio = ratio * RATIO_SHARE
        self._slack_count = slack_count * SLACK_SHARE
        self._window_ms = window_ms
        self._tokens = 1.0
        self._filled_at_ms = None

    def record_first(self, *, now_ms, gateways_count):
        """Count a first send.

        Args:
            gateways_count: Gateways among which the slack is divided.
        """
        self._fill(now_ms, gateways_count)
        cap = self._cap(gateways_count)
        self._tokens = min(max(cap, self._tokens), self._tokens + self._ratio)

    def take(self, *, now_ms, gateways_count):
        """Return whether a second send may be made now, and count it if so."""
        self._fill(now_ms, gateways_count)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _cap(self, gateways_count):
        # Half of the slack can be saved up, half comes in over a window.
        return max(1.0, self._slack_count / 2 / gateways_count)

    def _fill(self, now_ms, gateways_count):
        cap = self._cap(gateways_count)
        if self._filled_at_ms is not None:
            part = max(0.0, now_ms - self._filled_at_ms) / self._window_ms
            gained = part * self._slack_count / 2 / gateways_count
            self._tokens = min(max(cap, self._tokens), self._tokens + gained)
        self._tokens = min(self._tokens, cap)
        self._filled_at_ms = now_ms
