"""Which gateways wait at the store, and how the others learn that nothing changed.

Each call to the store is paid for by all, and a change answers every call that
waits. So one gateway of a data centre waits there; the others ask it several
times a second whether anything is new, and read the store only then, or when
what they know gets too old.
"""

import asyncio
import secrets
from collections import deque

import logbook

from .._errors import WaxwingError
from .._registry import Registry
from .notices import FORMAT, AskNotice, FreshNotice

log = logbook.Logger("readers")

# What a reader knows is twice as old just before an answer; with an interval of
# asking that is below the age at which the others read for themselves.
READ_WAIT_MS = 1000.0
ASK_INTERVAL_MS = 300.0
CHANGES_WAIT_MS = 100.0  # Some ten round trips between machines of a site.
CHANGES_KEPT_COUNT = 40  # Changes come in bursts while targets start.
# A reader in its turn stays below this; one that is older was none before.
READER_AGE_MS = 1400.0
# Configuration is to be in force within 3 s; this leaves some 100 answers' time.
OWN_READ_AGE_MS = 2500.0
UNFIT_MS = 3000.0  # Longer than it takes to forget a gateway that ended.
UNANSWERED_LIMIT_MS = 900.0  # One or two datagrams may be lost.
# While targets start, some of them change each moment: that comes in batches.
READ_SPACING_MS = 200.0
ASK_SPACING_MS = 20.0
CHANGES_LIMIT_BYTES = 40_000  # Of one answer; a datagram holds some more.
ASKS_KEPT_COUNT = 10  # Answers come within a few intervals or not at all.
NEVER_MS = float("-inf")
MS_PER_SECOND = 1000

reader_policy = Registry(kind="reader")


class UnreadableChangesError(WaxwingError):
    """Changes that another gateway passed on could not be read."""

    code = "unreadable_changes"


@reader_policy("everyone")
class Everyone:
    """Every gateway waits at the store; the naive one."""

    def choose(self, *, own_ip, local_peers):
        """Return the address of the gateway that reads for this one."""
        return own_ip


@reader_policy("first_of_data_centre")
class FirstOfDataCentre:
    """The first gateway of a data centre, by address, reads for all of it.

    Answers: calls to the store that grow with the gateways, and bursts of
    changes that each of them would read at the same moment.
    """

    def choose(self, *, own_ip, local_peers):
        """Return the address of the gateway that reads for this one.

        Args:
            local_peers: Addresses of the other gateways of the data centre that
                were heard lately and are fit to tell.
        """
        return min((own_ip, *local_peers))


class StoreReaders:
    """This gateway's part in reading the store.

    What a reader tells is as old as its own asking *and* the asking of the one
    who is told: an answer that took long on its way makes nothing seem newer.

    Args:
        published: The ``PublishedState`` whose age is kept.
        own_ip: Address of this gateway towards the others.
        local_peers: Returns the addresses of the gateways of this data centre
            that were heard lately.
        send: ``send(ip, notice)``; notices may be lost.
        policy: Name of a ``reader_policy``.

    Attributes:
        apply_changes: Called with an answer of the store that another gateway
            passed on; raises ``UnreadableChangesError``.
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
        self._at = None
        self._told_at = 0
        self._changes = deque(maxlen=CHANGES_KEPT_COUNT)
        # Whether the last answer told of changes that did not come with it.
        self._lacks_changes = False
        self._news = asyncio.Event()
        # When each answer that is still awaited was asked for, by nonce.
        self._asks = {}
        self._asked_ms = NEVER_MS
        self._unanswered_since_ms = None
        self._read_ms = NEVER_MS
        self._unfit_until_ms = {}

    async def wait_until_due(self):
        """Return when the store is to be asked, and how long it may wait.

        Returns:
            Milliseconds for which the store may hold the call back while
            nothing changes; 0 where only what is there already is wanted.
        """
        while True:
            reader = self._reader()
            if reader == self._own_ip:
                return await self._reader_turn()
            if self._at is None or self._is_old():
                return 0.0
            if self._is_behind():
                if not await self._fetch_changes(reader):
                    return 0.0
            elif self._clock.now_ms() - self._asked_ms >= ASK_INTERVAL_MS:
                self._ask(reader)
            await self._wait_news(self._asked_ms + ASK_INTERVAL_MS)

    async def _reader_turn(self):
        await self._sleep_until(self._read_ms + READ_SPACING_MS)
        self._read_ms = self._clock.now_ms()
        return 0.0 if self._published.age_ms > READER_AGE_MS else READ_WAIT_MS

    async def _fetch_changes(self, reader):
        """Ask for what changed; return whether it came."""
        await self._sleep_until(self._asked_ms + ASK_SPACING_MS)
        self._ask(reader)
        until_ms = self._asked_ms + CHANGES_WAIT_MS
        while self._is_behind() and not self._lacks_changes:
            if self._clock.now_ms() >= until_ms:
                return False
            await self._wait_news(until_ms)
        return not self._is_behind()

    def record_read(self, at, *, after=None, answer=b""):
        """Take in that the store was read up to revision ``at``.

        Args:
            after: The revision up to which everything was known before;
                ``None`` if the store was read from the start.
            answer: The store's answer, as bytes.
        """
        if after is None:
            self._changes.clear()
        elif at > after:
            self._changes.append((after, at, answer))
        self._lacks_changes = False
        is_news = self._at is not None and at > self._at
        self._at = at
        # Whoever told more was wrong, or tells it again.
        self._told_at = min(self._told_at, at)
        if is_news and self._reader() == self._own_ip:
            for ip in self._local_peers():
                self._send(ip, self._fresh(echo=0))

    def reset(self):
        """Take in that the store has to be read from the start."""
        self._at = None
        self._changes.clear()

    def on_ask(self, ip, notice):
        """Tell another gateway what is known here."""
        if self._at is not None:
            changes = self._changes_since(notice.at)
            self._send(ip, self._fresh(echo=notice.nonce, changes=changes))

    def on_fresh(self, ip, notice):
        """Take in what another gateway knows, asked for or not."""
        if notice.at > self._told_at:
            self._told_at = notice.at
        asked_ms = self._asks.pop(notice.echo, None)
        if asked_ms is not None:
            self._unanswered_since_ms = None
            self._take_answer(ip, notice, asked_ms)
        self._news.set()

    def _take_answer(self, ip, notice, asked_ms):
        if notice.age_ms > OWN_READ_AGE_MS:
            self._set_aside(ip, f"its knowledge is {notice.age_ms:.0f} ms old")
            return
        if self._at is None:
            return
        if notice.at > self._at and notice.changes:
            try:
                for answer in notice.changes:
                    self.apply_changes(answer)
            except UnreadableChangesError as error:
                self._set_aside(ip, str(error))
                return
            self._at = notice.at
            # What leads here is not kept: whoever asks this gateway reads.
            self._changes.clear()
        self._lacks_changes = notice.at > self._at
        if not self._lacks_changes:
            self._published.record_answer(asked_ms=asked_ms - notice.age_ms)

    def _changes_since(self, at):
        """Return the answers that lead from ``at`` to now, or nothing."""
        found, size = [], 0
        for after, until, answer in reversed(self._changes):
            if until <= at:
                break
            size += len(answer)
            if size > CHANGES_LIMIT_BYTES:
                return []
            found.append(answer)
            if after <= at:
                return found[::-1]
        return []

    def _reader(self):
        now_ms = self._clock.now_ms()
        fit = [
            ip
            for ip in self._local_peers()
            if self._unfit_until_ms.get(ip, NEVER_MS) < now_ms
        ]
        return self._policy.choose(own_ip=self._own_ip, local_peers=fit)

    async def _sleep_until(self, until_ms):
        left_ms = until_ms - self._clock.now_ms()
        if left_ms > 0:
            await self._clock.sleep_ms(left_ms)

    async def _wait_news(self, until_ms):
        """Wait for a notice, but no longer than until knowledge gets too old."""
        self._news.clear()
        until_ms = min(until_ms, self._published.asked_ms + OWN_READ_AGE_MS + 1)
        wait_ms = max(0.0, until_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await self._news.wait()
        except TimeoutError:
            return

    def _is_old(self):
        return self._published.age_ms > OWN_READ_AGE_MS

    def _is_behind(self):
        return self._at is None or self._told_at > self._at

    def _ask(self, reader):
        now_ms = self._asked_ms = self._clock.now_ms()
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        elif now_ms - self._unanswered_since_ms > UNANSWERED_LIMIT_MS:
            self._unanswered_since_ms = None
            self._set_aside(reader, "it does not answer")
            return
        nonce = secrets.randbits(63) or 1
        self._asks[nonce] = now_ms
        if len(self._asks) > ASKS_KEPT_COUNT:
            del self._asks[next(iter(self._asks))]
        self._send(reader, AskNotice(format=FORMAT, nonce=nonce, at=self._at))

    def _set_aside(self, ip, reason):
        self._unfit_until_ms[ip] = self._clock.now_ms() + UNFIT_MS
        log.info("reader set aside", extra={"reader": ip, "reason": reason})

    def _fresh(self, *, echo, changes=()):
        return FreshNotice(
            format=FORMAT,
            echo=echo,
            at=self._at,
            age_ms=min(self._published.age_ms, UNFIT_MS),
            changes=list(changes),
        )
