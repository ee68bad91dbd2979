"""Faults of single messages between processes: held, lost, doubled, delayed."""

import asyncio


class Rule:
    """Applies an action to the next messages that match.

    Args:
        matches: Returns whether the rule applies to a message.
        act: Called with the message and the function that sends it.
        limit_count: Number of messages to which the rule applies.

    Attributes:
        matched: Event that is set once a message has matched.
    """

    def __init__(self, *, matches, act, limit_count=1):
        self._matches = matches
        self._act = act
        self._remaining_count = limit_count
        self.matched = asyncio.Event()

    def handle(self, message, send):
        """Apply the rule to ``message`` if it matches; return whether it did."""
        if not self._remaining_count or not self._matches(message):
            return False
        self._remaining_count -= 1
        self.matched.set()
        self._act(message, send)
        return True


class HoldRule(Rule):
    """Holds matching messages back until they are released."""

    def __init__(self, *, matches, limit_count=1):
        super().__init__(matches=matches, act=self._hold, limit_count=limit_count)
        self._messages = []

    def _hold(self, message, send):
        self._messages.append((message, send))

    def release(self, *, reverse=False, copies_count=1):
        """Send the held messages, and hold no more.

        Args:
            reverse: Whether to send them in reverse order.
            copies_count: How often to send each message.
        """
        self._remaining_count = 0
        held, self._messages = self._messages, []
        for message, send in reversed(held) if reverse else held:
            for _ in range(copies_count):
                send(message)

    def copies_sender(self):
        """Return a function that sends copies of the messages that are held now."""
        held = list(self._messages)

        def send_all():
            for message, send in held:
                send(message)

        return send_all

    def drop(self):
        """Drop the held messages, and hold no more."""
        self._remaining_count = 0
        self._messages = []


def drop(message, send):
    """Drop the message."""


def duplicate(message, send):
    """Send the message twice."""
    send(message)
    send(message)


def delay(duration_ms):
    """Return an action that sends a message after a delay.

    Args:
        duration_ms: The delay in milliseconds.
    """

    def act(message, send):
        asyncio.get_running_loop().call_later(duration_ms / 1000, send, message)

    return act


class Tap:
    """Forwards the messages that one process sends, subject to rules.

    Attributes:
        rules: The ``Rule`` objects; the first one that matches handles the message.
        closed: Whether the process has ended, so that nothing more is sent.
    """

    def __init__(self):
        self.rules = []
        self.closed = False

    def add(self, rule):
        """Add a rule that comes before all earlier ones; return it."""
        self.rules.insert(0, rule)
        return rule

    def forward(self, message, send):
        """Send ``message``, unless a rule handles it or the process has ended."""
        if self.closed:
            return
        if any(
            rule.handle(message, self._send_unless_closed(send)) for rule in self.rules
        ):
            return
        send(message)

    def _send_unless_closed(self, send):
        def send_if_open(message):
            if not self.closed:
                try:
                    send(message)
                except Exception:
                    # The message's connection may have been closed while it was held.
                    pass

        return send_if_open
