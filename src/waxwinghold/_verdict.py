"""The outcome of a request that got no answer."""

import enum
from dataclasses import dataclass, replace


class Ran(enum.StrEnum):
    """Whether a request may have run, over all of its attempts."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


_LIKELIHOOD = {Ran.NOT_RUN: 0, Ran.MAY_HAVE_RUN: 1, Ran.RAN: 2}


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """The final outcome of a request that got no answer.

    Args:
        ran: Whether the request may have run.
        code: The error code, as listed in ``docs/OPERATIONS.md``.
        reason: One sentence for people.
        retry_after_ms: Time in milliseconds after which the caller may retry;
            ``None`` if a retry does not help.
    """

    ran: Ran
    code: str
    reason: str
    retry_after_ms: int | None = None

    def combined_with(self, earlier):
        """Return this verdict with a ``ran`` that covers earlier attempts too.

        Args:
            earlier: The ``Ran`` of the earlier attempts. It replaces ``ran`` if the
                earlier attempts are more likely to have run.
        """
        if _LIKELIHOOD[earlier] <= _LIKELIHOOD[self.ran]:
            return self
        return replace(self, ran=earlier)
