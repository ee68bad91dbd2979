"""Passes large changes of the store on, compressed and in several notices.

The reader sends them to one follower after the other at a bounded rate. Each follower
gets the newest changes of the moment at which its turn begins, so that a follower that
is served while a version is written waits for one round of the others, not for two.
"""

import asyncio
import itertools
import zlib
from collections import deque
from dataclasses import dataclass, field

import logbook

from .._errors import WaxwingError
from .notices import FORMAT, FRAGMENT_BYTES, FRAGMENTS_LIMIT_COUNT, FragmentNotice

log = logbook.Logger("large_changes")

# Two thirds of the 14 Mbit/s of the smallest hosts. 33 followers get a configuration of
# 1,400 routes, 61 KB compressed, within 1.7 s.
RATE_BYTES_PER_MS = 1200.0
# Followers that would have to wait until shortly before they give up read the store at
# once instead.
QUEUE_MARGIN_MS = 200.0
LATE_LIMIT_MS = 20.0  # By how much a late wake-up may be made up for.
PACKAGE_INTERVAL_MS = 500.0  # Compressing 324 KB takes 8 ms.
PACKAGES_LIMIT_COUNT = 3  # The former ones serve followers that lost fragments.
PACKAGE_LIMIT_BYTES = FRAGMENT_BYTES * FRAGMENTS_LIMIT_COUNT
COMPRESSION_LEVEL = 6
# A reader keeps and compresses at most half of this (``KEPT_LIMIT_BYTES``).
DECOMPRESSED_LIMIT_BYTES = 4 * 1024 * 1024
ASKS_LIMIT_COUNT = 16  # Of one transfer.


class BrokenPackageError(WaxwingError):
    """Compressed changes that are corrupt, or larger than the limit."""

    code = "broken_package"


def decompress(data):
    """Decompress changes, and stop at ``DECOMPRESSED_LIMIT_BYTES``.

    Raises:
        BrokenPackageError: The data is corrupt, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        changes = decompressor.decompress(data, DECOMPRESSED_LIMIT_BYTES)
    except zlib.error as error:
        raise BrokenPackageError(f"changes cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise BrokenPackageError(
            f"changes are truncated or larger than {DECOMPRESSED_LIMIT_BYTES} bytes"
        )
    return changes


@dataclass(frozen=True, kw_only=True)
class Package:
    """Compressed changes, ready to be sent.

    Args:
        number: Tells the packages of one sender apart.
        after: The lowest revision that the changes can be applied to.
        until: The revision that they lead to.
        confirmed_ms: When the call to the store was sent that confirmed ``until``.
        made_ms: When the package was made.
    """

    number: int
    after: int
    until: int
    confirmed_ms: float
    made_ms: float
    data: bytes = field(repr=False)

    @property
    def fragments_count(self):
        return -(-len(self.data) // FRAGMENT_BYTES)

    def fragment(self, number):
        return self.data[number * FRAGMENT_BYTES : (number + 1) * FRAGMENT_BYTES]


@dataclass(frozen=True, kw_only=True)
class _Turn:
    ask: object
    arrived_ms: float


class LargeChangesSender:
    """The reader's side.

    Args:
        send: ``send(ip, notice)``; notices may be lost.
        read_changes: ``read_changes(at)`` returns ``(after, until, changes,
            confirmed_ms)`` for a follower at revision ``at``; ``None`` if the changes
            are not kept.
        wait_limit_ms: Returns the time for which followers wait for large changes.

    Attributes:
        sent_bytes: Bytes of all fragments sent.
    """

    def __init__(self, *, clock, send, read_changes, wait_limit_ms):
        self._clock = clock
        self._send = send
        self._read_changes = read_changes
        self._wait_limit_ms = wait_limit_ms
        self._packages = deque(maxlen=PACKAGES_LIMIT_COUNT)
        self._numbers = itertools.count(1)
        # One turn for each follower, so that a repeated ask costs nothing.
        self._resends = {}
        self._turns = {}
        self._served_ip = None
        self._task = None
        self._free_ms = float("-inf")
        self.sent_bytes = 0

    def clear(self):
        """Forget all packages and turns."""
        self._packages.clear()
        self._resends.clear()
        self._turns.clear()

    @property
    def kept_bytes(self):
        """Return the size of all packages."""
        return sum(len(package.data) for package in self._packages)

    def accept(self, ip, ask):
        """Queue an ``AskNotice``, and return whether it will be answered in time."""
        turn = _Turn(ask=ask, arrived_ms=self._clock.now_ms())
        if self._missing(ask):
            self._resends[ip] = turn
        elif ip == self._served_ip:
            return True  # Sent just before its turn began.
        elif ip in self._turns:
            self._turns[ip] = turn
        else:
            package = self._package_for(ask.at)
            if package is None:
                return False
            queued_bytes = len(package.data) * (len(self._turns) + 1)
            limit_ms = self._wait_limit_ms() - QUEUE_MARGIN_MS
            if queued_bytes > limit_ms * RATE_BYTES_PER_MS:
                return False
            self._turns[ip] = turn
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._serve())
        return True

    def _missing(self, ask):
        """Return ``(package, numbers)`` of what a follower lost, or ``None``."""
        for package in self._packages:
            if package.number == ask.package and ask.missing:
                count = package.fragments_count
                numbers = sorted({number for number in ask.missing if number < count})
                return (package, numbers) if numbers else None
        return None

    async def _serve(self):
        """Serve the queued followers, one after the other, until there are none."""
        while self._resends or self._turns:
            turns = self._resends or self._turns
            ip = next(iter(turns))
            turn = turns.pop(ip)
            part = self._missing(turn.ask)
            if part is None:
                package = self._package_for(turn.ask.at)
                if package is None:
                    continue
                part = package, range(package.fragments_count)
            self._served_ip = ip
            try:
                for number in part[1]:
                    await self._send_fragment(ip, turn, part[0], number)
            finally:
                self._served_ip = None

    async def _send_fragment(self, ip, turn, package, number):
        now_ms = self._clock.now_ms()
        if self._free_ms > now_ms:
            await self._clock.sleep_ms(self._free_ms - now_ms)
            now_ms = self._clock.now_ms()
        data = package.fragment(number)
        self._free_ms = max(self._free_ms, now_ms - LATE_LIMIT_MS)
        self._free_ms += len(data) / RATE_BYTES_PER_MS
        self.sent_bytes += len(data)
        self._send(
            ip,
            FragmentNotice(
                format=FORMAT,
                echo=turn.ask.nonce,
                at=package.until,
                age_ms=turn.arrived_ms - package.confirmed_ms,
                package=package.number,
                number=number,
                count=package.fragments_count,
                data=data,
            ),
        )

    def _package_for(self, at):
        """Return the package for a follower at revision ``at``, or ``None``.

        A follower that the last package helps gets that one, unless it is old and
        there are newer changes.
        """
        now_ms = self._clock.now_ms()
        last = self._packages[-1] if self._packages else None
        if last is not None and last.after <= at < last.until:
            if now_ms - last.made_ms < PACKAGE_INTERVAL_MS:
                return last
        kept = self._read_changes(at)
        if kept is None:
            return None
        after, until, changes, confirmed_ms = kept
        if last is not None and (last.after, last.until) == (after, until):
            return last
        data = zlib.compress(changes, COMPRESSION_LEVEL)
        if len(data) > PACKAGE_LIMIT_BYTES:
            log.info(
                "changes too large to be passed on",
                extra={"at": until, "bytes": len(changes), "compressed": len(data)},
            )
            return None
        package = Package(
            number=next(self._numbers),
            after=after,
            until=until,
            confirmed_ms=confirmed_ms,
            made_ms=now_ms,
            data=data,
        )
        self._packages.append(package)
        log.info(
            "large changes passed on",
            extra={
                "after": after,
                "at": until,
                "bytes": len(changes),
                "compressed": len(data),
                "fragments": package.fragments_count,
            },
        )
        return package


class LargeChangesReceiver:
    """A follower's side: collects the fragments that answer its own questions.

    Attributes:
        last_arrival_ms: When the last fragment arrived; ``None`` before the first one
            of this transfer.
    """

    def __init__(self):
        self._asks = {}
        self.clear()

    def clear(self):
        """Forget all fragments and questions."""
        self._asks.clear()
        self._sender = None
        self._package = 0
        self._count = 0
        self._at = 0
        self._fragments = {}
        self.last_arrival_ms = None

    @property
    def package(self):
        """Return the number of the package that is being received; 0 if none is."""
        return self._package

    def missing(self, sender):
        """Return the numbers of the fragments that ``sender`` has not sent yet."""
        if sender != self._sender:
            return []
        return [n for n in range(self._count) if n not in self._fragments]

    def record_ask(self, ip, nonce, *, now_ms):
        """Record a question, whose answers count from now on."""
        self._asks[nonce] = ip, now_ms
        if len(self._asks) > ASKS_LIMIT_COUNT:
            del self._asks[next(iter(self._asks))]

    def add(self, ip, notice, *, now_ms):
        """Add a ``FragmentNotice``.

        Returns:
            ``(compressed changes, time that they confirm)`` with the last fragment;
            ``None`` before.
        """
        asked_ip, asked_ms = self._asks.get(notice.echo, (None, 0.0))
        if asked_ip != ip or notice.number >= notice.count:
            return None
        key = (ip, notice.package, notice.count, notice.at)
        if key != (self._sender, self._package, self._count, self._at):
            if ip == self._sender and notice.at <= self._at:
                return None  # A late fragment of a former package.
            self._sender, self._package, self._count, self._at = key
            self._fragments = {}
        self.last_arrival_ms = now_ms
        self._fragments[notice.number] = notice.data
        if len(self._fragments) < self._count:
            return None
        data = b"".join(self._fragments[number] for number in range(self._count))
        # The reader may have confirmed the copy after the question, but not later than
        # the fragment arrived.
        return data, min(asked_ms - notice.age_ms, now_ms)
