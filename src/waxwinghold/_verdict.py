"""What is known of a request that did not end in an answer."""

import enum
from dataclasses import dataclass, replace


class Ran(enum.StrEnum):
    """Says whether a request, all of its attempts included, may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


_RANKS = {Ran.NOT_RUN: 0, Ran.MAY_HAVE_RUN: 1, Ran.RAN: 2}


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """The final word on a request that got no answer.

    Args:
        ran: Whether the request may have run.
        code: The error code, as listed in ``docs/OPERATIONS.md``.
        reason: One sentence for a person.
        retry_after_ms: When the caller may come back, in milliseconds;
            ``None`` where coming back does not help.
    """

    ran: Ran
    code: str
    reason: str
    retry_after_ms: int | None = None

    def combined_with(self, earlier):
        """Return this verdict widened by what ``earlier`` attempts may have done.

        Args:
            earlier: The ``Ran`` of the earlier attempts of the same request.
        """
        if _RANKS[earlier] <= _RANKS[self.ran]:
            return self
        return replace(self, ran=earlier)
