"""Faults of single messages between processes."""

import asyncio


class Rule:
    """What happens to the next messages that match.

    Args:
        matches: Returns whether the rule is about a message.
        act: Gets the message and the function that sends it on.
        limit_count: How many messages the rule is about.
    """

    def __init__(self, *, matches, act, limit_count=1):
        self._matches = matches
        self._act = act
        self._left_count = limit_count
        self.matched = asyncio.Event()

    def handle(self, message, send):
        """Return whether the rule has dealt with ``message``."""
        if not self._left_count or not self._matches(message):
            return False
        self._left_count -= 1
        self.matched.set()
        self._act(message, send)
        return True


class HoldRule(Rule):
    """Holds messages back until they are released."""

    def __init__(self, *, matches, limit_count=1):
        super().__init__(matches=matches, act=self._hold, limit_count=limit_count)
        self._messages = []

    def _hold(self, message, send):
        self._messages.append((message, send))

    def release(self, *, reverse=False, copies_count=1):
        """Send what was held, in order or in reverse, and hold no more."""
        self._left_count = 0
        held, self._messages = self._messages, []
        for message, send in reversed(held) if reverse else held:
            for _ in range(copies_count):
                send(message)

    def copies(self):
        """Return a function that sends copies of what is held now."""
        held = list(self._messages)

        def send_all():
            for message, send in held:
                send(message)

        return send_all

    def drop(self):
        """Drop what is held, and hold no more."""
        self._left_count = 0
        self._messages = []


def drop(message, send):
    """Send nothing."""


def duplicate(message, send):
    """Send the message twice."""
    send(message)
    send(message)


def delay(duration_ms):
    """Return an action that sends a message ``duration_ms`` late."""

    def act(message, send):
        asyncio.get_running_loop().call_later(duration_ms / 1000, send, message)

    return act


class Tap:
    """Every message that one process sends passes here."""

    def __init__(self):
        self.rules = []
        self.closed = False

    def add(self, rule):
        """Let ``rule`` see the messages before earlier rules; return it."""
        self.rules.insert(0, rule)
        return rule

    def forward(self, message, send):
        """Send ``message`` on, unless a rule or the end of the process says no."""
        if self.closed:
            return
        if any(rule.handle(message, self._guarded(send)) for rule in self.rules):
            return
        send(message)

    def _guarded(self, send):
        def send_if_open(message):
            if not self.closed:
                try:
                    send(message)
                except Exception:
                    # The connection that the message was held on is gone.
                    pass

        return send_if_open
