"""Decides which gateways read the store, and keeps the others up to date.

All users of the store share its capacity, and each change makes the store answer
every call that waits there. Therefore only one gateway of each data centre, the
reader, waits at the store for changes. The other gateways, its followers, ask the
reader several times a second for changes. They read the store themselves only if the
reader cannot pass on the changes or their own copy gets too old.
"""

import asyncio
import hashlib
import secrets
from collections import deque

import logbook

from .._errors import WaxwingError
from .._registry import Registry
from .notices import FORMAT, AskNotice, FreshNotice

log = logbook.Logger("readers")

# The age of a reader's copy counts from the start of the last answered call, so it
# reaches twice READ_WAIT_MS just before the next answer. With ASK_INTERVAL_MS added,
# it stays below OWN_READ_AGE_MS, at which followers read the store themselves.
READ_WAIT_MS = 1000.0
ASK_INTERVAL_MS = 300.0
CHANGES_WAIT_MS = 100.0  # About ten round trips between hosts of a site.
CHANGES_LIMIT_COUNT = 40  # Changes come in bursts while targets start.
# A gateway that stays the reader has a younger copy than this at the start of each
# call. With an older copy, it has only just become the reader and has to read at once.
READER_AGE_MS = 1400.0
# Configuration has to be in force within 3 s; the remaining 500 ms are about the time
# of 100 answers of the store.
OWN_READ_AGE_MS = 2500.0
EXCLUSION_MS = 3000.0  # Longer than it takes to drop a gateway that has ended.
UNANSWERED_LIMIT_MS = 900.0  # Allows for one or two lost datagrams.
# While targets start, their entries change constantly; the spacing makes the reader
# fetch the changes in batches.
READ_SPACING_MS = 200.0
ASK_SPACING_MS = 20.0
CHANGES_LIMIT_BYTES = 40_000  # In one notice; a datagram can hold a little more.
PENDING_ASKS_LIMIT_COUNT = 10  # An answer arrives within a few intervals or is lost.
NEVER_MS = float("-inf")
MS_PER_SECOND = 1000

reader_policy = Registry(kind="reader")


class UnreadableChangesError(WaxwingError):
    """Changes that another gateway passed on could not be decoded."""

    code = "unreadable_changes"


def _digest(ip):
    return hashlib.blake2b(ip.encode(), digest_size=8).digest()


@reader_policy("everyone")
class Everyone:
    """Every gateway reads the store itself; the baseline policy."""

    def choose(self, *, own_ip, local_peers):
        """Return the address of the gateway that reads for this one."""
        return own_ip


@reader_policy("first_of_data_centre")
class FirstOfDataCentre:
    """The gateway whose address has the lowest hash reads for its data centre.

    It addresses a load on the store that grows with the number of gateways, bursts of
    changes that all gateways would read at the same moment, and new hosts with ever
    lower addresses, each of which would become the reader.
    """

    def choose(self, *, own_ip, local_peers):
        """Return the address of the gateway that reads for this one.

        Args:
            own_ip: Address of this gateway.
            local_peers: Addresses of the other active gateways of the data centre,
                without those that are excluded as readers.
        """
        return min((own_ip, *local_peers), key=_digest)


class StoreReaders:
    """Decides when this gateway reads the store, and exchanges changes with its peers.

    The age of a follower's copy is the age given in the reader's answer plus the
    time since the follower asked, so a slow answer never makes a copy seem newer
    than it is.

    Args:
        published: The ``PublishedState`` whose age is recorded.
        own_ip: Address at which the other gateways reach this one.
        local_peers: Returns the addresses of the other active gateways of this
            data centre.
        send: ``send(ip, notice)``; notices may be lost.
        policy: Name of a ``reader_policy``.

    Attributes:
        apply_changes: Function that applies an answer of the store that another
            gateway passed on; raises ``UnreadableChangesError``.
    """

    def __init__(
        self,
        *,
        clock,
        published,
        own_ip,
        local_peers,
        send,
        policy="first_of_data_centre",
    ):
        self._clock = clock
        self._published = published
        self._own_ip = own_ip
        self._local_peers = local_peers
        self._send = send
        self._policy = reader_policy.make(policy)
        self.apply_changes = None
        self._revision = None
        # The highest revision that any peer has announced.
        self._newest_revision = 0
        self._changes = deque(maxlen=CHANGES_LIMIT_COUNT)
        # Whether the last answer was for a later revision, but held no changes.
        self._changes_missing = False
        self._notice_arrived = asyncio.Event()
        # When each notice that is not answered yet was sent, by nonce.
        self._pending_asks = {}
        self._last_ask_ms = NEVER_MS
        self._unanswered_since_ms = None
        self._last_read_ms = NEVER_MS
        self._excluded_until_ms = {}

    async def wait_until_due(self):
        """Wait until this gateway has to call the store.

        Returns:
            Milliseconds for which the store may delay its answer while nothing
            changes; 0 for an immediate answer.
        """
        while True:
            reader = self._reader()
            if reader == self._own_ip:
                return await self._wait_as_reader()
            if self._revision is None or self._is_outdated():
                return 0.0
            if self._is_behind():
                if not await self._fetch_changes(reader):
                    return 0.0
            elif self._clock.now_ms() - self._last_ask_ms >= ASK_INTERVAL_MS:
                self._ask(reader)
            await self._wait_for_notice(self._last_ask_ms + ASK_INTERVAL_MS)

    async def _wait_as_reader(self):
        await self._sleep_until(self._last_read_ms + READ_SPACING_MS)
        self._last_read_ms = self._clock.now_ms()
        return 0.0 if self._published.age_ms > READER_AGE_MS else READ_WAIT_MS

    async def _fetch_changes(self, reader):
        """Ask the reader for changes, and return whether they arrived."""
        await self._sleep_until(self._last_ask_ms + ASK_SPACING_MS)
        self._ask(reader)
        until_ms = self._last_ask_ms + CHANGES_WAIT_MS
        while self._is_behind() and not self._changes_missing:
            if self._clock.now_ms() >= until_ms:
                return False
            await self._wait_for_notice(until_ms)
        return not self._is_behind()

    def record_read(self, at, *, after=None, answer=b""):
        """Record that this gateway has read the store.

        Args:
            at: The store's revision that was read.
            after: The previous revision, if only the changes after it were read;
                ``None`` if the store was read from the start.
            answer: The store's answer with the changes, as bytes.
        """
        if after is None:
            self._changes.clear()
        elif len(answer) > CHANGES_LIMIT_BYTES:
            # Nothing that includes these changes can be passed on.
            self._changes.clear()
        elif at > after:
            self._changes.append((after, at, answer))
        self._changes_missing = False
        is_newer = self._revision is not None and at > self._revision
        self._revision = at
        # A peer that announced a later revision was wrong, or will announce it again.
        # If that revision were kept, this gateway would call the store over and over.
        self._newest_revision = min(self._newest_revision, at)
        if is_newer and self._reader() == self._own_ip:
            for ip in self._local_peers():
                self._send(ip, self._fresh_notice(echo=0))

    def ask_instead(self):
        """Ask another gateway of the data centre, as the store refuses this one.

        The reader of a data centre would otherwise not hear of changes that the others
        know while only its own calls fail.
        """
        if self._revision is None or not self._is_outdated():
            return
        others = self._eligible_peers()
        if others:
            self._ask(self._policy.choose(own_ip=others[0], local_peers=others[1:]))

    def reset(self):
        """Start again without a copy: the store has to be read from the start."""
        self._revision = None
        self._changes.clear()

    def on_ask(self, ip, notice):
        """Answer an ``AskNotice`` of another gateway."""
        if self._revision is not None:
            changes = self._changes_since(notice.at)
            self._send(ip, self._fresh_notice(echo=notice.nonce, changes=changes))

    def on_fresh(self, ip, notice):
        """Handle a ``FreshNotice``, sent as an answer or unasked."""
        if notice.at > self._newest_revision:
            self._newest_revision = notice.at
        asked_ms = self._pending_asks.pop(notice.echo, None)
        if asked_ms is not None:
            self._unanswered_since_ms = None
            self._apply_answer(ip, notice, asked_ms)
        self._notice_arrived.set()

    def _apply_answer(self, ip, notice, asked_ms):
        if notice.age_ms > OWN_READ_AGE_MS:
            self._exclude(ip, f"its copy is {notice.age_ms:.0f} ms old")
            return
        if self._revision is None:
            return
        if notice.at > self._revision and notice.changes:
            try:
                for answer in notice.changes:
                    self.apply_changes(answer, at=notice.at)
            except UnreadableChangesError as error:
                self._exclude(ip, str(error))
                return
            self._revision = notice.at
            # Only changes read from the store are passed on. Gateways that ask this
            # one for others read the store themselves.
            self._changes.clear()
        self._changes_missing = notice.at > self._revision
        if not self._changes_missing:
            self._published.record_answer(asked_ms=asked_ms - notice.age_ms)

    def _changes_since(self, at):
        """Return the store's answers from revision ``at`` to the present one.

        The list is empty if not all of them are kept or they are too large.
        """
        answers, size = [], 0
        for after, until, answer in reversed(self._changes):
            if until <= at:
                break
            size += len(answer)
            if size > CHANGES_LIMIT_BYTES:
                return []
            answers.append(answer)
            if after <= at:
                return answers[::-1]
        return []

    def _reader(self):
        """Return the address of the gateway that reads the store for this one."""
        eligible = self._eligible_peers()
        return self._policy.choose(own_ip=self._own_ip, local_peers=eligible)

    def _eligible_peers(self):
        now_ms = self._clock.now_ms()
        return [
            ip
            for ip in self._local_peers()
            if self._excluded_until_ms.get(ip, NEVER_MS) < now_ms
        ]

    async def _sleep_until(self, until_ms):
        left_ms = until_ms - self._clock.now_ms()
        if left_ms > 0:
            await self._clock.sleep_ms(left_ms)

    async def _wait_for_notice(self, until_ms):
        """Wait for a notice until ``until_ms`` or until the copy gets too old."""
        self._notice_arrived.clear()
        until_ms = min(until_ms, self._published.asked_ms + OWN_READ_AGE_MS + 1)
        wait_ms = max(0.0, until_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await self._notice_arrived.wait()
        except TimeoutError:
            return

    def _is_outdated(self):
        return self._published.age_ms > OWN_READ_AGE_MS

    def _is_behind(self):
        return self._revision is None or self._newest_revision > self._revision

    def _ask(self, reader):
        now_ms = self._last_ask_ms = self._clock.now_ms()
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        elif now_ms - self._unanswered_since_ms > UNANSWERED_LIMIT_MS:
            self._unanswered_since_ms = None
            self._exclude(reader, "it does not answer")
            return
        nonce = secrets.randbits(63) or 1
        self._pending_asks[nonce] = now_ms
        if len(self._pending_asks) > PENDING_ASKS_LIMIT_COUNT:
            del self._pending_asks[next(iter(self._pending_asks))]
        self._send(reader, AskNotice(format=FORMAT, nonce=nonce, at=self._revision))

    def _exclude(self, ip, reason):
        self._excluded_until_ms[ip] = self._clock.now_ms() + EXCLUSION_MS
        log.info("reader excluded", extra={"reader": ip, "reason": reason})

    def _fresh_notice(self, *, echo, changes=()):
        return FreshNotice(
            format=FORMAT,
            echo=echo,
            at=self._revision,
            age_ms=min(self._published.age_ms, EXCLUSION_MS),
            changes=list(changes),
        )
