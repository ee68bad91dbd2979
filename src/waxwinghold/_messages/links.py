"""Messages that maintain a link: hello, heartbeats, load reports, leaving."""

from ._base import Message


class Hello(Message):
    """The first message in each direction of a connection.

    Fields:
        name: The sender's name, unique in the fleet.
        role: ``entry``, ``agent`` or ``operator``; must match the role of the
            sender's key.
        data_centre: The sender's data centre.
        incarnation: A random identifier that the process creates at its start.
        now_ms: Wall time of the sender.
        sheet_version: The version of the sender's sheet; 0 for none.
        sheet_digest: The digest of the sender's sheet; empty for none.
    """

    name: str
    role: str
    data_centre: str
    incarnation: str
    now_ms: int
    sheet_version: int = 0
    sheet_digest: str = ""


class Report(Message):
    """The load of one target, as measured by its agent.

    Fields:
        waiting_count: Requests in the agent's queue.
        running_count: Requests that the target runs for this agent.
        slots_count: Requests that the target can run at once.
        step_ms: The engine's last reported step time.
        queue_wait_ms: Queue time of the request that started last.
        age_ms: Age of the engine's own figures when the report was made.
        healthy: Whether the target answered its last health check and has loaded
            what the sheet specifies.
        prefixes: Digests of the prompt prefixes in the engine's cache.
        target_incarnation: The incarnation that the target names; empty for none.
        target_leaving: Whether the target has announced that it leaves.
        pause_left_ms: The rest of the pause that the target asked for; 0 for none.
    """

    waiting_count: int
    running_count: int
    slots_count: int
    step_ms: float = 0.0
    queue_wait_ms: float = 0.0
    age_ms: float = 0.0
    healthy: bool = True
    prefixes: tuple[str, ...] = ()
    target_incarnation: str = ""
    target_leaving: bool = False
    pause_left_ms: float = 0.0


class Heartbeat(Message):
    """Sent in both directions at a fixed interval.

    A connection without messages for the silence limit is replaced.

    Fields:
        sequence: The number of this heartbeat on the connection.
        echo_sequence: The last sequence received from the other side.
        now_ms: Wall time of the sender; an agent's once-only keys expire by it.
        sheet_version: The version of the sender's sheet; 0 for none.
        sheet_digest: The digest of the sender's sheet; empty for none.
        leaving: Whether the sender is draining and takes no new requests.
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
    """Sent by a process when it starts to drain and takes no new requests."""

    name: str
    reason: str
