"""The notices that processes send each other as UDP datagrams.

A gateway, rank or group notice holds the whole state and replaces the sender's
previous one.
"""

from typing import Annotated

import msgspec

from .._decisions.urgency import PRIORITY_MAX, STEP_MAX_COUNT

FORMAT = 5  # Receivers ignore notices of another format.
LIMIT_BYTES = 60_000  # Size of one encoded notice.
# Bytes of one fragment: six IP packets, so that a lost packet costs little.
FRAGMENT_BYTES = 8000
FRAGMENTS_LIMIT_COUNT = 64  # 512 KB compressed; 3,000 routes take 128 KB.
MEMBERS_LIMIT_COUNT = 16  # A sender names a few; each becomes a receiver for a while.
# Ranks whose counts one agent adds up: their answers are a burst on its link.
COUNTED_RANKS_LIMIT_COUNT = 8
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IP = rf"(?:{_OCTET}\.){{3}}{_OCTET}|\[?[0-9a-fA-F:]*:[0-9a-fA-F:]*\]?"
# Such numbers can be added up, divided and encoded again without an error.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Pace = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Scale = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
PerSecond = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
Age = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
# Arrivals at one gateway by priority, as the steps of ``_decisions.urgency``.
ARRIVAL_SERVICES_LIMIT_COUNT = 64
_Priority = Annotated[int, msgspec.Meta(ge=0, le=PRIORITY_MAX)]
_Step = Annotated[int, msgspec.Meta(ge=0, le=STEP_MAX_COUNT)]
Arrivals = Annotated[
    dict[str, Annotated[dict[_Priority, _Step], msgspec.Meta(max_length=16)]],
    msgspec.Meta(max_length=ARRIVAL_SERVICES_LIMIT_COUNT),
]
# Datagrams and connections go to these addresses. A name would be looked up, which
# blocks the process, and some texts end the socket that is to send to them.
Ip = Annotated[str, msgspec.Meta(pattern=rf"\A(?:{_IP})\Z")]
Address = Annotated[str, msgspec.Meta(pattern=rf"\A(?:{_IP}):[0-9]{{1,5}}\Z")]


class GatewayNotice(msgspec.Struct, array_like=True, frozen=True, tag="gateway"):
    """The state of one gateway, for the other gateways and for the agents.

    Args:
        format: Always ``FORMAT``.
        name: The sender's name.
        data_centre: The sender's data centre.
        started_ms: Wall time of the sender's start in milliseconds; a later one
            means that the sender was restarted.
        sequence: Increases by one with each notice.
        members: Addresses of some gateways that the sender knows to be active.
        counts: The sender's requests in flight by target, without targets that
            have none or whose rank agent reports its own counts.
        waiting: Requests in the sender's queues, by service.
        suspects_version: Version of what the sender knows about crashes of targets;
            0 if that is nothing.
        leaving: Targets, with their incarnations, that announced to the sender a short
            while ago that they leave.
        lost_version: Version of the configuration in force at the sender, if the store
            may have lost it; 0 otherwise.
        limits_version: Version of what the sender knows about limits of targets; 0 if
            that is nothing.
        arrivals: Steps of the arrival rates at the sender, by service and priority,
            for services with scarce slots or several priorities.
    """

    format: int
    name: str
    data_centre: str
    started_ms: int
    sequence: int
    members: Annotated[list[Ip], msgspec.Meta(max_length=MEMBERS_LIMIT_COUNT)]
    counts: dict[str, Count]
    waiting: dict[str, Count]
    suspects_version: int = 0
    leaving: list[str] = []
    lost_version: Count = 0
    limits_version: Count = 0
    arrivals: Arrivals = {}


class RankNotice(msgspec.Struct, array_like=True, frozen=True, tag="rank"):
    """The state of one rank, for the gateways and for the leader of the group.

    Args:
        address: ``IP:PORT`` of the rank.
        started_ms: Wall time of the sending agent's start in milliseconds.
        sequence: Increases by one with each notice.

    The other fields are those of the rank's ``RankReport``.
    """

    format: int
    address: Address
    started_ms: int
    sequence: int
    born_ms: int
    group: str
    epoch: Count
    rank: Count
    size: Count
    is_open: bool
    step: Count
    map_version: Count
    prepared: Count | None
    armed: Count | None
    held: Count | None
    orders_count: Count
    running_count: Count
    waiting_count: Count
    pace: Pace
    is_leaving: bool = False


class GroupNotice(msgspec.Struct, array_like=True, frozen=True, tag="group"):
    """The state of all ranks of one group, as known to the agent that leads it.

    Args:
        started_ms: Wall time of the sending agent's start in milliseconds.
        sequence: Increases by one with each notice.
        ranks: One tuple for each active rank: its number, the age of its last
            notice in milliseconds, its running and its waiting requests, and its
            pace in tenths.
        relay: Whether the receiver has to send it on to the other gateways of its
            data centre.
    """

    format: int
    started_ms: int
    sequence: int
    group: str
    epoch: int
    is_open: bool
    step: Count
    ranks: list[tuple[Count, Count, Count, Count, Count]]
    relay: bool = False


class AskCountsNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask-counts"):
    """Asks the agent of a rank for expert counts.

    Args:
        number: Number of the question, which the answer repeats.
        block: Number of the asked ranks' block in the group.
        known_version: Version of the map that the leader knows for all ranks, or
            ``None``. Answers about it leave out the resident experts.
        ranks: The ranks whose counts the receiver asks for and adds up; empty for the
            receiver's own rank.
    """

    format: int
    group: str
    epoch: Count
    number: Count
    block: Count
    known_version: Count | None
    ranks: Annotated[list[Count], msgspec.Meta(max_length=COUNTED_RANKS_LIMIT_COUNT)]


class CountedRank(msgspec.Struct, array_like=True, frozen=True):
    """One of the ranks that a ``CountsNotice`` tells about.

    Args:
        born_ms: Wall time of the rank's start in milliseconds.
        map_version: Version of the map in use.
        held: For each set, the experts that are resident at the rank; empty if the
            leader knows them.
    """

    rank: Count
    born_ms: int
    map_version: int
    held: list[list[Count]]


class CountsNotice(msgspec.Struct, array_like=True, frozen=True, tag="counted"):
    """How often requests at some ranks chose each expert since their last answers.

    Args:
        number: The number of the ``AskCountsNotice`` that this one answers.
        block: The block of that one.
        ranks: The ranks whose counts are in the sums.
        scales: For each set, the factor of its squared bytes in ``grown``.
        grown: For each set, one byte for each expert: its square times the scale
            is the growth of the expert's count, summed over the ranks.
    """

    format: int
    group: str
    epoch: int
    number: Count
    block: Count
    ranks: Annotated[
        list[CountedRank], msgspec.Meta(max_length=COUNTED_RANKS_LIMIT_COUNT)
    ]
    scales: list[Scale]
    grown: list[bytes]


class OrderNotice(msgspec.Struct, array_like=True, frozen=True, tag="order"):
    """An order that the leader of a group sends through the agent of a rank.

    Args:
        rank: Number of the rank that gets the order. The agent of another rank passes
            it on over HTTP.

    The other fields are those of ``Order``.
    """

    format: int
    group: str
    epoch: int
    rank: int
    kind: str
    orders_count: int
    token: int
    step: int | None
    version: int | None


class MapNotice(msgspec.Struct, array_like=True, frozen=True, tag="map"):
    """Orders to prepare one map, for some ranks of a group.

    The agent that gets it sends it on to the agents of the other ranks, so that the
    leader sends the map once for several ranks.

    Args:
        token: Fencing token of the leader.
        version: Version of the map.
        sizes: Sets of layers, ranks, and experts of a set.
        base: Digest of the map that ``gaps`` is the difference from; ``None`` for the
            map that assigns ``in_turn_count`` experts to each rank in turn.
        gaps: The difference, as ``map_codec`` encodes it.
        digest: Digest of the whole map.
        orders: ``(rank, orders_count)`` for each rank: orders that it had accepted.
        is_final: Whether the receiver must not send it on.
    """

    format: int
    group: str
    epoch: int
    token: int
    version: int
    sizes: tuple[int, int, int]
    base: bytes | None
    in_turn_count: int
    gaps: bytes
    digest: bytes
    orders: list[tuple[int, int]]
    is_final: bool


class AskMapNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask-map"):
    """Asks the leader for a whole map, because the sender lacks the one it is based on.

    Args:
        rank: Number of the sender's rank.
        digest: Digest of the map that the sender was to compose.
    """

    format: int
    group: str
    epoch: int
    rank: int
    digest: bytes


class AskNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks another gateway how up to date its copy of the store is.

    Args:
        nonce: A random number that the answer repeats; it cannot be guessed.
        at: The store revision of the sender's copy.
        takes_fragments: Whether the sender understands a ``FragmentNotice``.
        package: Number of the package of which the sender lacks some fragments.
        missing: The numbers of these fragments; empty to ask for all changes.
    """

    format: int
    nonce: int
    at: int
    takes_fragments: bool = False
    package: Count = 0
    missing: Annotated[list[Count], msgspec.Meta(max_length=FRAGMENTS_LIMIT_COUNT)] = []


class FreshNotice(msgspec.Struct, array_like=True, frozen=True, tag="fresh"):
    """Says how up to date the sender's copy of the store is.

    Args:
        echo: The nonce of the ``AskNotice`` that this one answers; 0 if it was sent
            unasked because the store has changed.
        at: The store revision of the sender's copy.
        age_ms: Age of the sender's copy in milliseconds, counted from the sending of
            the call to the store that confirmed the copy.
        changes: The store's answers that lead from the asker's revision to ``at``;
            empty if the sender no longer has all of them, or they are large.
        is_queued: Whether the changes will follow in ``FragmentNotice``s.
    """

    format: int
    echo: int
    at: int
    age_ms: Annotated[float, msgspec.Meta(ge=0)]
    changes: list[bytes] = []
    is_queued: bool = False


class FragmentNotice(msgspec.Struct, array_like=True, frozen=True, tag="fragment"):
    """One part of large changes, which are compressed.

    Args:
        echo: The nonce of the ``AskNotice`` that this one answers.
        at: The store revision that the changes lead to.
        age_ms: Time in milliseconds from the sending of the call to the store that
            confirmed that revision to the arrival of the ``AskNotice``; negative if
            the call was sent later.
        package: Number of the compressed changes among those of the sender.
        number: Number of this fragment, from 0 on.
        count: Number of fragments.
    """

    format: int
    echo: int
    at: int
    age_ms: Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]
    package: Count
    number: Count
    count: Annotated[int, msgspec.Meta(ge=1, le=FRAGMENTS_LIMIT_COUNT)]
    data: Annotated[bytes, msgspec.Meta(min_length=1, max_length=FRAGMENT_BYTES)]


class AskSuspectsNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask-lost"):
    """Asks another gateway for what it knows about crashes of targets.

    Args:
        nonce: A random number that the answer repeats; it cannot be guessed.
    """

    format: int
    nonce: int


class SuspectsNotice(msgspec.Struct, array_like=True, frozen=True, tag="lost"):
    """Tells another gateway, which has asked, about crashes of targets.

    Args:
        echo: The nonce of the ``AskSuspectsNotice`` that this one answers.
        version: The sender's ``suspects_version``.
        lost: One tuple for each lost request: the target and its incarnation, the
            digest of the request, those of its shared prompt parts, whether the target
            had begun to answer, and the age of the loss in milliseconds.
        cleared: Age in milliseconds of the last answer, by the digest of the part or
            request that was answered.
    """

    format: int
    echo: int
    version: int
    lost: list[tuple[str, bytes, tuple[bytes, ...], bool, int]]
    cleared: list[tuple[bytes, int]]


class AskLimitsNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask-limits"):
    """Asks another gateway for the limits that targets have named.

    Args:
        nonce: A random number that the answer repeats; it cannot be guessed.
    """

    format: int
    nonce: int


class LimitsNotice(msgspec.Struct, array_like=True, frozen=True, tag="limits"):
    """Tells another gateway, which has asked, what limits targets have named.

    Args:
        echo: The nonce of the ``AskLimitsNotice`` that this one answers.
        version: The sender's ``limits_version``.
        limits: One tuple for each target: its name and incarnation, the requests per
            second that it takes, ``None`` if it names no limit any more, and the age
            of the answer that said so in milliseconds.
    """

    format: int
    echo: int
    version: int
    limits: list[tuple[str, PerSecond | None, Count]]


class AskPermitNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask-permit"):
    """Asks another gateway for a permit for one request to a target with a limit.

    Args:
        nonce: A random number that the answer repeats; it cannot be guessed.
        target: The target's name and incarnation.
        per_second: The limit of the target, as far as the sender knows.
    """

    format: int
    nonce: int
    target: str
    per_second: PerSecond


class PermitNotice(msgspec.Struct, array_like=True, frozen=True, tag="permit"):
    """Answers an ``AskPermitNotice``.

    Args:
        echo: The nonce of the ``AskPermitNotice`` that this one answers.
        wait_ms: 0 for a permit; otherwise after how many milliseconds to ask again.
    """

    format: int
    echo: int
    wait_ms: Age


Notice = (
    GatewayNotice
    | RankNotice
    | GroupNotice
    | AskCountsNotice
    | CountsNotice
    | OrderNotice
    | MapNotice
    | AskMapNotice
    | AskNotice
    | FreshNotice
    | FragmentNotice
    | AskSuspectsNotice
    | SuspectsNotice
    | AskLimitsNotice
    | LimitsNotice
    | AskPermitNotice
    | PermitNotice
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Notice)
