"""An engine's prefix cache, and the events that it publishes about it."""

import collections
from dataclasses import dataclass

EVENTS_LIMIT_COUNT = 4096
KV_BYTES_PER_PREFIX = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """One change of the cache.

    Args:
        kind: ``stored`` or ``evicted``.
    """

    sequence: int
    kind: str
    prefix: str


class CacheEvents:
    """Events that become visible late, and of which some are lost.

    Args:
        clock: Tells the time.
        lag_ms: How late an event becomes visible.
        gap_every_count: One event in this many is lost; 0 loses none.
    """

    def __init__(self, *, clock, lag_ms=0.0, gap_every_count=0):
        self.lag_ms = lag_ms
        self.gap_every_count = gap_every_count
        self._clock = clock
        self._sequence = 0
        self._events = collections.deque(maxlen=EVENTS_LIMIT_COUNT)

    def add(self, kind, prefix):
        """Publish one event; a lost one leaves a gap in the numbers."""
        self._sequence += 1
        if self.gap_every_count and self._sequence % self.gap_every_count == 0:
            return
        event = CacheEvent(sequence=self._sequence, kind=kind, prefix=prefix)
        self._events.append((self._clock.now_ms(), event))

    def after(self, sequence):
        """Return the visible events above ``sequence``."""
        until_ms = self._clock.now_ms() - self.lag_ms
        return [
            event
            for added_ms, event in self._events
            if added_ms <= until_ms and event.sequence > sequence
        ]


class PrefixCache:
    """Keeps the KV cache of the prefixes used last.

    Args:
        events: Where changes are published.
        limit_count: Prefixes that fit.
    """

    def __init__(self, *, events, limit_count=64):
        self.limit_count = limit_count
        self.hits_count = 0
        self._events = events
        self._stored = collections.OrderedDict()

    @property
    def used_bytes(self):
        """Bytes that the cached prefixes take."""
        return sum(len(content) for content in self._stored.values())

    def use(self, prefix):
        """Return whether ``prefix`` was cached; it is afterwards."""
        if prefix in self._stored:
            self._stored.move_to_end(prefix)
            self.hits_count += 1
            return True
        self.store(prefix, prefix.encode().ljust(KV_BYTES_PER_PREFIX, b"."))
        return False

    def store(self, prefix, content):
        """Cache ``content`` for ``prefix``; what was used longest ago goes."""
        self._stored[prefix] = content
        self._stored.move_to_end(prefix)
        self._events.add("stored", prefix)
        while len(self._stored) > self.limit_count:
            evicted, _ = self._stored.popitem(last=False)
            self._events.add("evicted", evicted)

    def content(self, prefix):
        """Return the KV cache of ``prefix`` as bytes, or ``None``."""
        return self._stored.get(prefix)
