"""Datagrams between the system's processes; each replaces the one before it."""

import msgspec

FORMAT = 3
LIMIT_BYTES = 60_000


class GatewayNotice(msgspec.Struct, array_like=True, frozen=True, tag="gateway"):
    """One gateway's state, for the other gateways and for the agents.

    Args:
        format: Notices of another format are passed over.
        data_centre: Where the sender stands.
        started_ms: Wall time of the sender's start; a later one is a restart.
        sequence: Grows by one with each notice.
        members: Addresses of the gateways that the sender heard lately.
        counts: Requests in flight by target; without targets that have none.
        waiting: Requests that wait at the sender, by service.
    """

    format: int
    name: str
    data_centre: str
    started_ms: int
    sequence: int
    members: list[str]
    counts: dict[str, int]
    waiting: dict[str, int]


class RankNotice(msgspec.Struct, array_like=True, frozen=True, tag="rank"):
    """One rank's state, for the gateways and for the agent that leads the group.

    Args:
        address: ``IP:PORT`` of the rank.
        started_ms: Wall time of the sending agent's start.
        sequence: Grows by one with each notice.
    """

    format: int
    address: str
    started_ms: int
    sequence: int
    born_ms: int
    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None
    armed: int | None
    held: int | None
    orders_count: int
    running_count: int
    waiting_count: int
    pace: float


class GroupNotice(msgspec.Struct, array_like=True, frozen=True, tag="group"):
    """All ranks of one group, as the agent that leads it heard of them.

    Args:
        started_ms: Wall time of the sending agent's start.
        sequence: Grows by one with each notice.
        ranks: Of each rank heard lately: its number, how many milliseconds ago
            it was heard, its running and its waiting requests.
    """

    format: int
    started_ms: int
    sequence: int
    group: str
    epoch: int
    is_open: bool
    step: int
    ranks: list[tuple[int, int, int, int]]


class CountsNotice(msgspec.Struct, array_like=True, frozen=True, tag="counts"):
    """How often the requests of one rank chose each expert since the last notice.

    Args:
        scales: By set, what one unit of ``grown`` stands for.
        grown: By set, a byte for each expert.
        held: Experts that the rank holds, by set.
    """

    format: int
    address: str
    born_ms: int
    group: str
    epoch: int
    rank: int
    scales: list[float]
    grown: list[bytes]
    map_version: int
    held: list[list[int]]


class OrderNotice(msgspec.Struct, array_like=True, frozen=True, tag="order"):
    """An order that the agent which leads a group wants carried out."""

    format: int
    group: str
    epoch: int
    kind: str
    orders_count: int
    token: int
    step: int | None
    version: int | None
    ranks_by_set: list[list[list[int]]] | None


class AskNotice(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """One gateway's question how new another one's knowledge of the store is.

    Args:
        nonce: Comes back with the answer; nobody else can guess it.
        at: The store's revision up to which the sender knows everything.
    """

    format: int
    nonce: int
    at: int


class FreshNotice(msgspec.Struct, array_like=True, frozen=True, tag="fresh"):
    """How new the sender's knowledge of the store is.

    Args:
        echo: The nonce that is answered; 0 for news that nobody asked for.
        at: The store's revision up to which the sender knows everything.
        age_ms: How long ago the sender asked the store for that.
        changes: The store's answers that lead from the asker's revision to
            ``at``; empty if the sender no longer has them.
    """

    format: int
    echo: int
    at: int
    age_ms: float
    changes: list[bytes] = []


Notice = (
    GatewayNotice
    | RankNotice
    | GroupNotice
    | CountsNotice
    | OrderNotice
    | AskNotice
    | FreshNotice
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Notice)
