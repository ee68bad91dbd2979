"""Messages that keep a link: greetings, heartbeats, load reports, departures."""

from ._base import Message


class Hello(Message):
    """The first message in each direction of a connection.

    Fields:
        name: The process's name, unique in the fleet.
        role: ``entry``, ``agent`` or ``operator``; must match the peer's key.
        incarnation: A random name that the process took at its start.
        now_ms: The sender's wall clock.
    """

    name: str
    role: str
    data_centre: str
    incarnation: str
    now_ms: int
    sheet_version: int = 0
    sheet_digest: str = ""


class Report(Message):
    """The load of one target, as its agent knows it.

    Fields:
        waiting_count: Requests in the agent's queue.
        running_count: Requests that the target runs for this agent.
        slots_count: Requests that the target may run at once.
        step_ms: The engine's last known step time.
        queue_wait_ms: How long the last request that started had waited.
        age_ms: Age of the engine's own figures when this report was made.
        healthy: Whether the target answered its last health check and holds what
            the sheet says.
        prefixes: Digests of the prompt prefixes that the engine has cached.
    """

    waiting_count: int
    running_count: int
    slots_count: int
    step_ms: float = 0.0
    queue_wait_ms: float = 0.0
    age_ms: float = 0.0
    healthy: bool = True
    prefixes: tuple[str, ...] = ()


class Heartbeat(Message):
    """Sent both ways at a fixed interval; silence condemns the connection.

    Fields:
        sequence: Counts this sender's heartbeats on this connection.
        echo_sequence: The last sequence received from the other side.
        now_ms: The sender's wall clock; agents' keys expire by it.
        leaving: Whether the sender takes no new work.
        report: The target's load; ``None`` from an entry.
    """

    sequence: int
    echo_sequence: int
    now_ms: int
    sheet_version: int
    sheet_digest: str
    leaving: bool = False
    report: Report | None = None


class Leaving(Message):
    """Sent at once by a process that takes no new work from now on."""

    name: str
    reason: str
