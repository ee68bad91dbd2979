"""A list of callbacks that run after a change."""

import logbook

_log = logbook.Logger("waxwinghold.sheet")


class Listeners:
    """Calls every registered callback, even if one of them raises."""

    def __init__(self):
        self._functions = []

    def add(self, function):
        """Register ``function`` for every later call of ``call``."""
        self._functions.append(function)

    def call(self, *arguments):
        """Call the registered functions in the order of registration.

        Args:
            arguments: Positional arguments passed to each function.
        """
        for function in self._functions:
            try:
                function(*arguments)
            except Exception:
                # The change is already in force, so call the other listeners too.
                _log.exception("a listener failed")
