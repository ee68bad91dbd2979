"""Prefix cache of an engine, and the events that it publishes about its changes."""

import collections
from dataclasses import dataclass

EVENTS_LIMIT_COUNT = 4096
KV_BYTES_PER_PREFIX = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """One change of the cache.

    Args:
        sequence: Number of the event, from 1 on.
        kind: ``stored`` or ``evicted``.
        prefix: Digest of the prefix.
    """

    sequence: int
    kind: str
    prefix: str


class CacheEvents:
    """Log of cache events with a configurable delay and loss.

    Args:
        clock: Clock for the times at which events are published.
        lag_ms: Delay until an event becomes visible.
        gap_every_count: One of this many events is lost; with 0 none is lost.
    """

    def __init__(self, *, clock, lag_ms=0.0, gap_every_count=0):
        self.lag_ms = lag_ms
        self.gap_every_count = gap_every_count
        self._clock = clock
        self._sequence = 0
        self._events = collections.deque(maxlen=EVENTS_LIMIT_COUNT)

    def add(self, kind, prefix):
        """Publish one event; a lost event leaves a gap in the sequence numbers."""
        self._sequence += 1
        if self.gap_every_count and self._sequence % self.gap_every_count == 0:
            return
        event = CacheEvent(sequence=self._sequence, kind=kind, prefix=prefix)
        self._events.append((self._clock.now_ms(), event))

    def after(self, sequence):
        """Return the visible events with a number above ``sequence``."""
        until_ms = self._clock.now_ms() - self.lag_ms
        return [
            event
            for added_ms, event in self._events
            if added_ms <= until_ms and event.sequence > sequence
        ]


class PrefixCache:
    """KV cache by prefix, with eviction of the least recently used.

    Args:
        events: The ``CacheEvents`` to which changes are published.
        limit_count: Number of prefixes that fit.

    Attributes:
        hits_count: Number of uses of a prefix that was cached.
    """

    def __init__(self, *, events, limit_count=64):
        self.limit_count = limit_count
        self.hits_count = 0
        self._events = events
        self._stored = collections.OrderedDict()

    @property
    def used_bytes(self):
        """Size of the cached prefixes in bytes."""
        return sum(len(content) for content in self._stored.values())

    def use(self, prefix):
        """Return whether ``prefix`` was cached, and cache it if it was not."""
        if prefix in self._stored:
            self._stored.move_to_end(prefix)
            self.hits_count += 1
            return True
        self.store(prefix, prefix.encode().ljust(KV_BYTES_PER_PREFIX, b"."))
        return False

    def store(self, prefix, content):
        """Cache ``content`` for ``prefix`` and evict what no longer fits."""
        self._stored[prefix] = content
        self._stored.move_to_end(prefix)
        self._events.add("stored", prefix)
        while len(self._stored) > self.limit_count:
            evicted, _ = self._stored.popitem(last=False)
            self._events.add("evicted", evicted)

    def content(self, prefix):
        """Return the cached content of ``prefix`` as bytes, or ``None``."""
        return self._stored.get(prefix)
