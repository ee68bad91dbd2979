"""The ``Hello`` and ``Heartbeat`` messages of a process."""

from dataclasses import dataclass
from typing import Callable

from .._clock import Clock
from .._messages import Heartbeat, Hello, Report


def no_report():
    """Return ``None``: entries have no load report."""
    return None


@dataclass(frozen=True, kw_only=True)
class Presence:
    """Creates the ``Hello`` and ``Heartbeat`` messages of a process.

    Args:
        sheet_state: Returns the version and digest of the sheet in force.
        is_leaving: Returns whether the process is draining.
        report: Returns the load ``Report`` of the target, or ``None``.
    """

    clock: Clock
    name: str
    role: str
    data_centre: str
    incarnation: str
    sheet_state: Callable[[], tuple[int, str]]
    is_leaving: Callable[[], bool]
    report: Callable[[], Report | None] = no_report

    def hello(self):
        """Return the first message of a connection."""
        version, digest = self.sheet_state()
        return Hello(
            name=self.name,
            role=self.role,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
            now_ms=self.clock.wall_ms(),
            sheet_version=version,
            sheet_digest=digest,
        )

    def heartbeat(self, *, sequence, echo_sequence):
        """Return the next heartbeat of a connection.

        Args:
            sequence: The number of this heartbeat on the connection.
            echo_sequence: The last sequence received from the peer.
        """
        version, digest = self.sheet_state()
        return Heartbeat(
            sequence=sequence,
            echo_sequence=echo_sequence,
            now_ms=self.clock.wall_ms(),
            sheet_version=version,
            sheet_digest=digest,
            leaving=self.is_leaving(),
            report=self.report(),
        )
