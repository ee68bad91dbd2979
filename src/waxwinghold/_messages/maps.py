"""Messages between the agents of a group, which keep it on one expert map.

Times are the sender's monotonic milliseconds; the other side only echoes
them. An incarnation is a number that rises with each start of an agent.
"""

import enum
from functools import total_ordering

from ._base import Message


@total_ordering
class Term(Message):
    """The right to lead; name and incarnation keep equal numbers apart."""

    number: int = 0
    leader: str = ""
    incarnation: int = 0

    def __lt__(self, other):
        mine = (self.number, self.leader, self.incarnation)
        return mine < (other.number, other.leader, other.incarnation)

    def __str__(self):
        return f"{self.number}.{self.leader}.{self.incarnation}"


class ExpertMap(Message):
    """Which experts each agent's ranks hold.

    Fields:
        map_id: Names this attempt at the map; no two attempts share one.
        experts: The experts of each agent, by the agent's name; empty where
            only the name of the map is known.
    """

    map_id: str
    experts: dict[str, tuple[str, ...]] = {}


class EngineMap(Message):
    """An engine's own word on its maps.

    Fields:
        map_id: The map that the next step uses; empty if there is none.
        step: The last step that is done.
        hold_before: The first step that may not begin, or ``None``.
        loaded: Maps whose experts are loaded.
    """

    map_id: str
    step: int
    hold_before: int | None
    loaded: tuple[str, ...]

    def has_only_map(self, map_id):
        """Return whether the engine can use ``map_id`` and no other map."""
        return self.map_id == map_id and self.loaded == (map_id,)


class MapReport(Message):
    """What one agent knows of its ranks.

    Fields:
        engine: The engine's own word.
        target: The map that the agent last accepted to switch to.
        target_term: The term under which it did.
        prepared: A map that is loaded ahead.
    """

    engine: EngineMap
    target: ExpertMap | None = None
    target_term: Term = Term()
    prepared: ExpertMap | None = None


class MapClaim(Message):
    """Asks for the right to lead the group under ``term``.

    Fields:
        known_map_ids: Maps whose experts the sender knows; reports leave them
            out, as they are most of a message.
    """

    group: str
    term: Term
    members: tuple[str, ...]
    sent_ms: float
    known_map_ids: tuple[str, ...] = ()


class MapGrant(Message):
    """Promises to obey no lower term, and reports."""

    group: str
    term: Term
    incarnation: int
    report: MapReport
    sent_ms: float
    echo_ms: float


class MapDenial(Message):
    """Tells a leader that its term or its incarnation is past.

    Fields:
        granted: The highest term that the sender has granted.
        retired: Whether a newer incarnation of the addressee is known.
        incarnation: The incarnation of the addressee that is meant.
    """

    group: str
    granted: Term
    retired: bool
    incarnation: int


class OrderKind(enum.StrEnum):
    """What a leader orders; ``docs/design/expert-maps.md`` has the sequence."""

    LOAD = "load"
    HOLD = "hold"
    SWITCH = "switch"
    RESUME = "resume"
    READ = "read"


class MapOrder(Message):
    """One order of a leader to one incarnation of an agent.

    Fields:
        sequence: Rises with each order of the term to this agent.
        step: For ``HOLD`` and ``SWITCH``; ``None`` means at once.
        echo_ms: When the agent sent the last message that the leader has.
    """

    group: str
    term: Term
    incarnation: int
    sequence: int
    kind: OrderKind
    sent_ms: float
    echo_ms: float
    expert_map: ExpertMap | None = None
    step: int | None = None


class MapOrderDone(Message):
    """The outcome of an order.

    Fields:
        reason: Why it was not carried out; empty if it was.
        map_lost: Whether no order of this term can help: the engine does not
            have the map that the term counts on.
    """

    group: str
    term: Term
    incarnation: int
    sequence: int
    sent_ms: float
    echo_ms: float
    engine: EngineMap | None = None
    reason: str = ""
    map_lost: bool = False


class MapBeat(Message):
    """Keeps the lease of one agent under a term."""

    group: str
    term: Term
    incarnation: int
    sent_ms: float
    echo_ms: float


class MapBeatReply(Message):
    """Keeps the lease of the leader."""

    group: str
    term: Term
    incarnation: int
    sent_ms: float
    echo_ms: float


class MapJoin(Message):
    """Tells of an agent's incarnation, and retires those before it."""

    group: str
    incarnation: int


class MapJoinReply(Message):
    """Answers ``MapJoin``.

    Fields:
        newest: The newest incarnation of the asking agent that is known.
        granted: The highest term that the sender has granted.
        target: The map that the sender's ranks use.
    """

    group: str
    incarnation: int
    newest: int
    granted: Term
    target: ExpertMap | None = None


class DemandQuery(Message):
    """Asks an agent for the demand for the experts of its ranks.

    Fields:
        number: Rises with each round of questions of the sender.
    """

    group: str
    number: int


class DemandReply(Message):
    """Answers ``DemandQuery``.

    Fields:
        layers: Tokens that each expert of each layer gets in an interval;
            empty where that is not known.
    """

    group: str
    number: int
    layers: tuple[tuple[int, ...], ...]
