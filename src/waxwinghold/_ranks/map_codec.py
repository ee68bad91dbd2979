"""Encodes expert maps for the agents of a group, whole or as changes of another map.

A map is a set of places: one number for each expert that a rank holds in a set of
layers. Two maps differ by the places that one of them has and the other has not. The
sorted places of such a difference are encoded as gaps, of one to three bytes each. The
whole map is sent as a difference too: from a map that follows from its sizes alone.
"""

import hashlib
from dataclasses import dataclass

DIGEST_BYTES = 16
# More than any group has, so that a malformed notice cannot take much memory.
PLACES_LIMIT_COUNT = 4_000_000
HELD_LIMIT_COUNT = 60_000  # Experts that all ranks of a group hold in all sets.
# An agent keeps the map in use, the one prepared and a few that were given up.
KEPT_MAPS_COUNT = 4
GAP_BITS = 7


class UnknownMapError(Exception):
    """The map that a change refers to is not known here."""


class MalformedMapError(Exception):
    """An encoded map does not fit its sizes or its digest."""


@dataclass(frozen=True, kw_only=True)
class MapSizes:
    """The sizes that the places of a map are numbered by.

    Args:
        sets_count: Sets of layers.
        ranks_count: Ranks of the group.
        experts_count: Experts of a set.

    Raises:
        MalformedMapError: A size is not positive, or the map would be too large.
    """

    sets_count: int
    ranks_count: int
    experts_count: int

    def __post_init__(self):
        if min(self.sets_count, self.ranks_count, self.experts_count) < 1:
            raise MalformedMapError(f"size below 1: {self}")
        if self.places_count > PLACES_LIMIT_COUNT or self.rows_count > HELD_LIMIT_COUNT:
            raise MalformedMapError(f"too large: {self}")

    @property
    def rows_count(self):
        return self.sets_count * self.ranks_count

    @property
    def places_count(self):
        return self.rows_count * self.experts_count

    def places(self, ranks_by_set):
        """Return the places of a map given as experts by set and rank."""
        return {
            (index * self.ranks_count + rank) * self.experts_count + expert
            for index, ranks in enumerate(ranks_by_set)
            for rank, experts in enumerate(ranks)
            for expert in experts
        }

    def ranks_by_set(self, places):
        """Return a map, given by its places, as sorted experts by set and rank."""
        ranks_by_set = [
            [[] for _ in range(self.ranks_count)] for _ in range(self.sets_count)
        ]
        for place in sorted(places):
            row, expert = divmod(place, self.experts_count)
            index, rank = divmod(row, self.ranks_count)
            ranks_by_set[index][rank].append(expert)
        return ranks_by_set

    def in_turn(self, experts_per_rank_count):
        """Return the places of a map that assigns experts to ranks in turn.

        Raises:
            MalformedMapError: Not a number of experts that a rank may hold.
        """
        if (
            not 0 <= experts_per_rank_count <= self.experts_count
            or self.rows_count * experts_per_rank_count > HELD_LIMIT_COUNT
        ):
            raise MalformedMapError(f"{experts_per_rank_count} experts in turn")
        return self.places(
            [
                [
                    {
                        (turn * self.ranks_count + rank) % self.experts_count
                        for turn in range(experts_per_rank_count)
                    }
                    for rank in range(self.ranks_count)
                ]
            ]
            * self.sets_count
        )


@dataclass(frozen=True, kw_only=True)
class EncodedMap:
    """A map as the difference from another one.

    Args:
        sizes: The ``MapSizes``.
        base: Digest of the other map; ``None`` if that is the map that assigns
            ``in_turn_count`` experts to each rank in turn.
        in_turn_count: See ``base``; 0 for the empty map.
        gaps: The encoded difference.
        digest: Digest of this map.
    """

    sizes: MapSizes
    base: bytes | None
    in_turn_count: int
    gaps: bytes
    digest: bytes


def encode_whole(ranks_by_set):
    """Return an ``EncodedMap`` that needs no other map."""
    sizes = _sizes(ranks_by_set)
    places = sizes.places(ranks_by_set)
    lengths = {len(experts) for ranks in ranks_by_set for experts in ranks}
    candidates = [
        (encode_gaps(places ^ sizes.in_turn(count)), count)
        for count in sorted({0, min(lengths), max(lengths)})
    ]
    gaps, count = min(candidates, key=lambda candidate: len(candidate[0]))
    return EncodedMap(
        sizes=sizes,
        base=None,
        in_turn_count=count,
        gaps=gaps,
        digest=map_digest(sizes, places),
    )


def encode_change(base_by_set, ranks_by_set):
    """Return an ``EncodedMap`` of ``ranks_by_set`` for those who know the other map."""
    sizes = _sizes(ranks_by_set)
    base_places, places = sizes.places(base_by_set), sizes.places(ranks_by_set)
    return EncodedMap(
        sizes=sizes,
        base=map_digest(sizes, base_places),
        in_turn_count=0,
        gaps=encode_gaps(places ^ base_places),
        digest=map_digest(sizes, places),
    )


class KnownMaps:
    """The maps that an agent has composed lately, by digest."""

    def __init__(self):
        self._gaps_by_digest = {}

    def __len__(self):
        return len(self._gaps_by_digest)

    def compose(self, encoded):
        """Return the experts by set and rank of an ``EncodedMap``, and remember them.

        Raises:
            UnknownMapError: The map that it is the difference from is not known.
            MalformedMapError: It does not fit its sizes or its digest.
        """
        sizes = encoded.sizes
        if encoded.base is None:
            base_places = sizes.in_turn(encoded.in_turn_count)
        elif encoded.base in self._gaps_by_digest:
            base_places = decode_gaps(self._gaps_by_digest[encoded.base], sizes)
            # The map in use stays known, however many changes of it are given up.
            self._remember(encoded.base, self._gaps_by_digest[encoded.base])
        else:
            raise UnknownMapError(encoded.base.hex())
        places = base_places ^ decode_gaps(encoded.gaps, sizes)
        if map_digest(sizes, places) != encoded.digest:
            raise MalformedMapError("the composed map has another digest")
        self._remember(encoded.digest, encode_gaps(places))
        return sizes.ranks_by_set(places)

    def _remember(self, digest, gaps):
        self._gaps_by_digest.pop(digest, None)
        self._gaps_by_digest[digest] = gaps
        while len(self._gaps_by_digest) > KEPT_MAPS_COUNT:
            del self._gaps_by_digest[next(iter(self._gaps_by_digest))]


def map_digest(sizes, places):
    """Return the digest of a map, which also depends on its sizes."""
    head = f"{sizes.sets_count} {sizes.ranks_count} {sizes.experts_count} ".encode()
    data = head + encode_gaps(places)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def encode_gaps(places):
    """Return sorted places as gaps, each in groups of seven bits, lowest first."""
    data = bytearray()
    previous = -1
    for place in sorted(places):
        gap, previous = place - previous - 1, place
        while gap >> GAP_BITS:
            data.append(gap & 0x7F | 0x80)
            gap >>= GAP_BITS
        data.append(gap)
    return bytes(data)


def decode_gaps(data, sizes):
    """Return the places that ``encode_gaps`` encoded.

    Raises:
        MalformedMapError: A place is not in a map of these sizes.
    """
    places = set()
    places_count = sizes.places_count  # Computed anew by each access.
    place, gap, shift = -1, 0, 0
    for byte in data:
        gap |= (byte & 0x7F) << shift
        shift += GAP_BITS
        if gap >= places_count:
            raise MalformedMapError("gap too large")
        if byte & 0x80:
            continue
        place += gap + 1
        if place >= places_count:
            raise MalformedMapError("place outside the map")
        places.add(place)
        gap = shift = 0
    if shift:
        raise MalformedMapError("the last gap is cut off")
    return places


def _sizes(ranks_by_set):
    # Each expert is on at least one rank, so that the last one tells their number.
    last_expert = max(
        max(experts, default=0) for ranks in ranks_by_set for experts in ranks
    )
    return MapSizes(
        sets_count=len(ranks_by_set),
        ranks_count=len(ranks_by_set[0]),
        experts_count=last_expert + 1,
    )
