"""Decides whether a target that has asked for rest may get requests.

It handles targets that announce in their answers that they leave, before any list says
so, and targets that reject requests and ask for a pause. Both hold for one incarnation
of a target, not for its name or address. ``tests.test_decisions_target_signals``
replays both.
"""

from collections import OrderedDict
from dataclasses import dataclass

TARGETS_LIMIT_COUNT = 1024
# A target that leaves is gone long before; until then no list makes it come back.
LEAVING_LIFETIME_MS = 600_000.0
PAUSE_LIMIT_MS = 86_400_000.0  # Nobody asks for a longer pause on purpose.
# Other processes hear of a leaving target for this long: then the list says so.
TOLD_MS = 10_000.0
TOLD_LIMIT_COUNT = 16
# The agent of a leaving rank repeats its word each second.
AGENT_WORD_MS = 5000.0
# Callers that come back after a pause arrive over this time.
PAUSE_SPREAD_MS = 500.0
# What others tell counts for at most this share of a service's targets, so that a
# forged or mistaken word cannot take all of them out of use.
HINTED_SHARE = 0.25


@dataclass(kw_only=True)
class _Signal:
    leaving_until_ms: float = 0.0
    agent_word_until_ms: float = 0.0
    is_agent_believed: bool = False
    paused_until_ms: float = 0.0

    def is_over(self, now_ms):
        """Return whether the target may get requests again."""
        return now_ms >= max(
            self.leaving_until_ms, self.agent_word_until_ms, self.paused_until_ms
        )


class TargetSignals:
    """Remembers what targets have asked for.

    Targets are named by their incarnation.
    """

    def __init__(self):
        self._signals = OrderedDict()

    def __len__(self):
        return len(self._signals)

    def record_leaving(self, target, *, now_ms):
        """Record that a target leaves; return whether that is new."""
        signal = self._signal(target, now_ms)
        is_new = now_ms >= signal.leaving_until_ms
        signal.leaving_until_ms = now_ms + LEAVING_LIFETIME_MS
        return is_new

    def record_agent_word(self, target, *, fleet, now_ms):
        """Record that the agent of a target says that the target leaves.

        Agents are believed about a part of a service only, see ``credible_hints``. A
        word holds for ``AGENT_WORD_MS``, and other processes are not told of it.

        Args:
            fleet: The incarnations of all targets of the service.

        Returns:
            Whether the target counts as leaving now, and did not before.
        """
        was_leaving = self.is_leaving(target, now_ms=now_ms)
        self._signal(target, now_ms).agent_word_until_ms = now_ms + AGENT_WORD_MS
        told = [name for name in fleet if self._has_agent_word(name, now_ms)]
        credible = set(credible_hints(told, targets_count=len(fleet)))
        for name in told:
            self._signals[name].is_agent_believed = name in credible
        return not was_leaving and self.is_leaving(target, now_ms=now_ms)

    def record_pause(self, target, *, pause_ms, now_ms):
        """Record that a target wants no requests for a time; the longest one holds.

        Args:
            pause_ms: The time in milliseconds; at most ``PAUSE_LIMIT_MS`` counts.

        Returns:
            Whether the pause is new or longer than the one before.
        """
        signal = self._signal(target, now_ms)
        until_ms = now_ms + min(max(0.0, pause_ms), PAUSE_LIMIT_MS)
        is_longer = until_ms > max(now_ms, signal.paused_until_ms)
        signal.paused_until_ms = max(signal.paused_until_ms, until_ms)
        return is_longer

    def is_leaving(self, target, *, now_ms):
        """Return whether the target has announced that it leaves."""
        signal = self._signals.get(target)
        if signal is None:
            return False
        if signal.is_agent_believed and now_ms < signal.agent_word_until_ms:
            return True
        return now_ms < signal.leaving_until_ms

    def told_leaving(self, *, now_ms):
        """Return the targets whose leaving other processes should hear of."""
        from_ms = now_ms + LEAVING_LIFETIME_MS - TOLD_MS
        told = [
            target
            for target, signal in self._signals.items()
            if signal.leaving_until_ms > from_ms
        ]
        return told[-TOLD_LIMIT_COUNT:]

    def pause_left_ms(self, target, *, now_ms):
        """Return the rest of the target's pause in milliseconds; 0 for none."""
        signal = self._signals.get(target)
        return max(0.0, signal.paused_until_ms - now_ms) if signal else 0.0

    def may_send(self, target, *, now_ms):
        """Return whether the target may get a request now."""
        if target not in self._signals:
            return True
        is_leaving = self.is_leaving(target, now_ms=now_ms)
        return not is_leaving and not self.pause_left_ms(target, now_ms=now_ms)

    def _has_agent_word(self, target, now_ms):
        signal = self._signals.get(target)
        return signal is not None and now_ms < signal.agent_word_until_ms

    def _signal(self, target, now_ms):
        signal = self._signals.setdefault(target, _Signal())
        self._signals.move_to_end(target)
        if len(self._signals) > TARGETS_LIMIT_COUNT:
            self._forget_other(target, now_ms)
        return signal

    def _forget_other(self, kept, now_ms):
        """Forget the oldest signal that is over, or else the oldest one."""
        others = [target for target in self._signals if target != kept]
        over = (target for target in others if self._signals[target].is_over(now_ms))
        del self._signals[next(over, others[0])]


def credible_hints(hinted, *, targets_count):
    """Return those targets of one service that are avoided because others say so.

    Args:
        hinted: Targets that other processes call leaving.
        targets_count: Number of the service's targets.
    """
    return sorted(hinted)[: int(targets_count * HINTED_SHARE)]


def shortest_pause_ms(targets, *, signals, now_ms):
    """Return when the first of several paused targets may get requests again.

    Args:
        targets: The incarnations of all targets that could serve a request.
        signals: The ``TargetSignals``.

    Returns:
        The time until then in milliseconds; ``None`` if a target is not paused, or if
        each one leaves.
    """
    pauses_ms = [
        signals.pause_left_ms(target, now_ms=now_ms)
        for target in targets
        if not signals.is_leaving(target, now_ms=now_ms)
    ]
    shortest_ms = min(pauses_ms, default=0.0)
    return shortest_ms or None


def retry_after_pause_ms(pause_ms, *, rng):
    """Return when a caller that met paused targets only may come back.

    Args:
        pause_ms: The rest of the shortest pause in milliseconds.
        rng: Source of the spread, so that not all callers return at the same time.
    """
    return pause_ms + rng.uniform(0.0, PAUSE_SPREAD_MS)
