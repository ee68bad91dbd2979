"""Which gateways wait at the store, and how the others learn that nothing changed.

Each call to the store is paid for by all, and a change answers every call that
waits. So one gateway of a data centre waits there; the others ask it several
times a second whether anything is new, and read the store only then, or when
what they know gets too old.
"""

import asyncio
import secrets

import logbook

from .._registry import Registry
from .notices import FORMAT, AskNotice, FreshNotice

log = logbook.Logger("readers")

# What a reader knows is twice as old just before an answer; with an interval of
# asking that is below the age at which the others read for themselves.
READ_WAIT_MS = 1000.0
ASK_INTERVAL_MS = 300.0
# A reader in its turn stays below this; one that is older was none before.
READER_AGE_MS = 1400.0
# Configuration is to be in force within 3 s; this leaves some 100 answers' time.
OWN_READ_AGE_MS = 2500.0
UNFIT_MS = 3000.0  # Longer than it takes to forget a gateway that ended.
UNANSWERED_ASKS_COUNT = 3  # One or two datagrams may be lost.
ASKS_KEPT_COUNT = 10  # Answers come within a few intervals or not at all.
NEVER_MS = float("-inf")
MS_PER_SECOND = 1000

reader_policy = Registry(kind="reader")


@reader_policy("everyone")
class Everyone:
    """Every gateway waits at the store; the naive one."""

    def choose(self, *, own_ip, colleagues):
        """Return the address of the gateway that reads for this one."""
        return own_ip


@reader_policy("first_of_data_centre")
class FirstOfDataCentre:
    """The first gateway of a data centre, by address, reads for all of it.

    Answers: calls to the store that grow with the gateways, and changes that
    are read once by each of them at the same moment.
    """

    def choose(self, *, own_ip, colleagues):
        """Return the address of the gateway that reads for this one.

        Args:
            colleagues: Addresses of the other gateways of the data centre that
                were heard lately and are fit to tell.
        """
        return min((own_ip, *colleagues))


class Readers:
    """This gateway's part in reading the store.

    What a reader tells is as old as its own asking *and* the asking of the one
    who is told: an answer that took long on its way makes nothing seem newer.

    Args:
        published: The ``Published`` whose age is kept.
        own_ip: Address of this gateway towards the others.
        colleagues: Returns the addresses of the gateways of this data centre
            that were heard lately.
        send: ``send(ip, notice)``; notices may be lost.
        policy: Name of a ``reader_policy``.
    """

    def __init__(
        self,
        *,
        clock,
        published,
        own_ip,
        colleagues,
        send,
        policy="first_of_data_centre",
    ):
        self._clock = clock
        self._published = published
        self._own_ip = own_ip
        self._colleagues = colleagues
        self._send = send
        self._policy = reader_policy.make(policy)
        self._at = None
        self._told_at = 0
        self._news = asyncio.Event()
        # When each answer that is still awaited was asked for, by nonce.
        self._asks = {}
        self._unanswered_count = 0
        self._unfit_until_ms = {}

    async def turn(self):
        """Return when the store is to be asked, and how long it may wait.

        Returns:
            Milliseconds for which the store may hold the call back while
            nothing changes; 0 where only what is there already is wanted.
        """
        while True:
            reader = self._reader()
            if reader == self._own_ip:
                is_late = self._published.age_ms > READER_AGE_MS
                return 0.0 if is_late else READ_WAIT_MS
            if self._is_behind():
                return 0.0
            self._ask(reader)
            await self._wait_news()

    def note_read(self, at):
        """Take in that the store was read up to revision ``at``."""
        is_news = self._at is not None and at > self._at
        self._at = at
        # Whoever told more was wrong, or tells it again.
        self._told_at = min(self._told_at, at)
        if is_news and self._reader() == self._own_ip:
            for ip in self._colleagues():
                self._send(ip, self._fresh(echo=0))

    def on_ask(self, ip, notice):
        """Tell another gateway what is known here."""
        if self._at is not None:
            self._send(ip, self._fresh(echo=notice.nonce))

    def on_fresh(self, ip, notice):
        """Take in what another gateway knows, asked for or not."""
        if notice.at > self._told_at:
            self._told_at = notice.at
        asked_ms = self._asks.pop(notice.echo, None)
        if asked_ms is not None:
            self._unanswered_count = 0
            if notice.age_ms > OWN_READ_AGE_MS:
                self._set_aside(ip, f"its knowledge is {notice.age_ms:.0f} ms old")
            elif self._at is not None and notice.at <= self._at:
                self._published.note_answer(asked_ms=asked_ms - notice.age_ms)
        if self._is_behind():
            self._news.set()

    def _reader(self):
        now_ms = self._clock.now_ms()
        fit = [
            ip
            for ip in self._colleagues()
            if self._unfit_until_ms.get(ip, NEVER_MS) < now_ms
        ]
        return self._policy.choose(own_ip=self._own_ip, colleagues=fit)

    async def _wait_news(self):
        """Wait for news, but no longer than until the reader is asked again."""
        self._news.clear()
        left_ms = OWN_READ_AGE_MS - self._published.age_ms
        wait_ms = min(ASK_INTERVAL_MS, max(0.0, left_ms) + 1)
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await self._news.wait()
        except TimeoutError:
            return

    def _is_behind(self):
        newer = self._at is None or self._told_at > self._at
        return newer or self._published.age_ms > OWN_READ_AGE_MS

    def _ask(self, reader):
        if self._unanswered_count >= UNANSWERED_ASKS_COUNT:
            self._unanswered_count = 0
            self._set_aside(reader, "it does not answer")
            return
        self._unanswered_count += 1
        nonce = secrets.randbits(63) or 1
        self._asks[nonce] = self._clock.now_ms()
        if len(self._asks) > ASKS_KEPT_COUNT:
            del self._asks[next(iter(self._asks))]
        self._send(reader, AskNotice(format=FORMAT, nonce=nonce))

    def _set_aside(self, ip, reason):
        self._unfit_until_ms[ip] = self._clock.now_ms() + UNFIT_MS
        log.info("reader set aside", extra={"reader": ip, "reason": reason})

    def _fresh(self, *, echo):
        age_ms = min(self._published.age_ms, UNFIT_MS)
        return FreshNotice(format=FORMAT, echo=echo, at=self._at, age_ms=age_ms)
