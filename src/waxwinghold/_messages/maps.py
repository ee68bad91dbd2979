"""Messages by which the agents of a group agree on one expert map.

Times are monotonic milliseconds of the sender; the receiver only echoes them. An
incarnation is a number that increases with each start of an agent, unlike the random
``incarnation`` of ``Hello``.
"""

import enum
from functools import total_ordering

from ._base import Message


@total_ordering
class Term(Message):
    """The right to lead a group, ordered by number, leader name and incarnation.

    The leader's name and incarnation make terms with the same number distinct.
    """

    number: int = 0
    leader: str = ""
    incarnation: int = 0

    def __lt__(self, other):
        own_key = (self.number, self.leader, self.incarnation)
        return own_key < (other.number, other.leader, other.incarnation)

    def __str__(self):
        return f"{self.number}.{self.leader}.{self.incarnation}"


class ExpertMap(Message):
    """The assignment of experts to the ranks of each agent.

    Fields:
        map_id: Identifies one attempt to introduce the map; unique for each
            attempt.
        experts: The experts of each agent's ranks, by the agent's name; empty if
            only ``map_id`` is known.
    """

    map_id: str
    experts: dict[str, tuple[str, ...]] = {}


class EngineMap(Message):
    """The map state that an engine reports.

    Fields:
        map_id: The map that the next step uses; empty for none.
        step: The last finished step.
        hold_before: The first step that is held back, or ``None``.
        loaded: Maps whose experts are loaded.
    """

    map_id: str
    step: int
    hold_before: int | None
    loaded: tuple[str, ...]

    def has_only_map(self, map_id):
        """Return whether the engine uses ``map_id`` and has no other map loaded."""
        return self.map_id == map_id and self.loaded == (map_id,)


class MapReport(Message):
    """The map state of one agent's ranks.

    Fields:
        engine: The map state that the engine reports.
        target: The map of the last switch that the agent accepted.
        target_term: The term of that switch.
        prepared: A map that is loaded in advance.
    """

    engine: EngineMap
    target: ExpertMap | None = None
    target_term: Term = Term()
    prepared: ExpertMap | None = None


class MapClaim(Message):
    """Asks for the right to lead the group under ``term``.

    Fields:
        group: The group's name.
        term: The term that the sender claims.
        members: Names of the group's agents.
        sent_ms: Time of sending.
        known_map_ids: Maps whose experts the sender already has. Reports leave
            these experts out, because they would be most of the message.
    """

    group: str
    term: Term
    members: tuple[str, ...]
    sent_ms: float
    known_map_ids: tuple[str, ...] = ()


class MapGrant(Message):
    """Grants a claim: the sender rejects lower terms and reports its map state.

    Fields:
        group: The group's name.
        term: The granted term.
        incarnation: The sender's incarnation.
        report: The map state of the sender's ranks.
        sent_ms: Time of sending.
        echo_ms: The ``sent_ms`` of the claim.
    """

    group: str
    term: Term
    incarnation: int
    report: MapReport
    sent_ms: float
    echo_ms: float


class MapDenial(Message):
    """Rejects a leader's message because its term or incarnation is outdated.

    Fields:
        group: The group's name.
        granted: The highest term that the sender has granted.
        retired: Whether the sender knows a newer incarnation of the receiver.
        incarnation: The receiver's incarnation, as in the rejected message.
    """

    group: str
    granted: Term
    retired: bool
    incarnation: int


class OrderKind(enum.StrEnum):
    """The kind of a leader's order; ``docs/design/expert-maps.md`` has the sequence."""

    LOAD = "load"
    HOLD = "hold"
    SWITCH = "switch"
    RESUME = "resume"
    READ = "read"


class MapOrder(Message):
    """One order of a leader to one incarnation of an agent.

    Fields:
        group: The group's name.
        term: The leader's term.
        incarnation: The incarnation of the agent that the order is for.
        sequence: Increases with each order of the term to this agent.
        kind: What the agent has to do.
        sent_ms: Time of sending.
        echo_ms: The ``sent_ms`` of the last message from the agent.
        expert_map: The map that the order is about, if any.
        step: The step for ``HOLD`` and ``SWITCH``; ``None`` means immediately.
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
        group: The group's name.
        term: The term of the order.
        incarnation: The incarnation of the sender.
        sequence: The sequence of the order.
        sent_ms: Time of sending.
        echo_ms: The ``sent_ms`` of the order.
        engine: The engine's map state after the order, or ``None``.
        reason: Why the order failed; empty if it succeeded.
        map_lost: Whether the engine no longer has the map that the term relies on,
            so that no order of this term can succeed.
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
    """Renews the lease of one agent under a term."""

    group: str
    term: Term
    incarnation: int
    sent_ms: float
    echo_ms: float


class MapBeatReply(Message):
    """Answers ``MapBeat`` and renews the lease of the leader."""

    group: str
    term: Term
    incarnation: int
    sent_ms: float
    echo_ms: float


class MapJoin(Message):
    """Announces an agent's incarnation and retires its earlier incarnations."""

    group: str
    incarnation: int


class MapJoinReply(Message):
    """Answers ``MapJoin``.

    Fields:
        group: The group's name.
        incarnation: The incarnation in the ``MapJoin`` message.
        newest: The newest incarnation of the joining agent that the sender knows.
        granted: The highest term that the sender has granted.
        target: The map that the sender's ranks use, or ``None``.
    """

    group: str
    incarnation: int
    newest: int
    granted: Term
    target: ExpertMap | None = None


class DemandQuery(Message):
    """Asks an agent for the demand for the experts of its ranks.

    Fields:
        group: The group's name.
        number: Increases with each round of queries of the sender.
    """

    group: str
    number: int


class DemandReply(Message):
    """Answers ``DemandQuery``.

    Fields:
        group: The group's name.
        number: The number of the query.
        layers: For each layer, the tokens routed to each expert per interval of
            the sender's ``DemandMeter``; empty if unknown.
    """

    group: str
    number: int
    layers: tuple[tuple[int, ...], ...]
