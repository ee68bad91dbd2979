"""Functions that are called at a change."""

import logbook

_log = logbook.Logger("waxwinghold.sheet")


class Listeners:
    """Calls every listener, also when one of them fails."""

    def __init__(self):
        self._functions = []

    def add(self, function):
        """Call ``function`` at each later change."""
        self._functions.append(function)

    def call(self, *arguments):
        """Call the listeners in the order in which they were added."""
        for function in self._functions:
            try:
                function(*arguments)
            except Exception:
                # The change has happened: the other listeners must still hear.
                _log.exception("a listener failed")
