"""Decides which gateways read the store, and keeps the others up to date.

All users of the store share its capacity, and each change makes the store answer
every call that waits there. Therefore only one gateway of each data centre, the
reader, waits at the store for changes. The other gateways, its followers, ask the
reader several times a second for changes. They read the store themselves only if the
reader cannot pass on the changes or their own copy gets too old. Changes that do not
fit into one notice are passed on by ``large_changes``.
"""

import asyncio
import hashlib
import random
import secrets
from collections import deque

import logbook

from .._decisions.copy_age import ASK_INTERVAL_MS
from .._errors import WaxwingError
from .._registry import Registry
from .large_changes import (
    BrokenPackageError,
    LargeChangesReceiver,
    LargeChangesSender,
    decompress,
)
from .notices import FORMAT, AskNotice, FreshNotice

log = logbook.Logger("readers")

CHANGES_WAIT_MS = 100.0  # About ten round trips between hosts of a site.
CHANGES_LIMIT_COUNT = 40  # Changes come in bursts while targets start.
EXCLUSION_MS = 3000.0  # Longer than it takes to drop a gateway that has ended.
UNANSWERED_LIMIT_MS = 900.0  # Allows for one or two lost datagrams.
# While targets start, their entries change constantly; the spacing makes the reader
# fetch the changes in batches.
READ_SPACING_MS = 200.0
ASK_SPACING_MS = 20.0
CHANGES_LIMIT_BYTES = 40_000  # In one notice; a datagram can hold a little more.
KEPT_LIMIT_BYTES = 2_000_000  # Without the compressed copies, 1.5 MB at most.
# Followers read the store themselves when their copies get older than
# ``CopyLimits.large_age_ms``, so none needs changes from before this time.
LARGE_KEPT_MS = 5000.0
LARGE_SPACING_MS = 500.0  # Between two questions that are answered by large changes.
# Fragments of one answer follow each other within 7 ms; a pause of this length means
# that the last ones are lost. The jitter spreads the questions of many followers.
FRAGMENT_PAUSE_MS = 60.0
FRAGMENT_PAUSE_JITTER_MS = 30.0
# A wait may end early by the rounding of the time. Waits of no length would follow,
# which never end in simulated time.
SHORTEST_WAIT_MS = 0.1
RESEND_WAIT_MS = 150.0  # Readers send lost fragments after the present turn.
HEARD_LIMIT_COUNT = 40  # Several seconds of revisions that are announced one by one.
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
        limits: Returns the ``CopyLimits``.
        policy: Name of a ``reader_policy``.

    Attributes:
        apply_changes: Function that applies an answer of the store that another
            gateway passed on; raises ``UnreadableChangesError``.
        outdated_count: How often this gateway read the store because its reader had
            not confirmed its copy in time.
    """

    def __init__(
        self,
        *,
        clock,
        published,
        own_ip,
        local_peers,
        send,
        limits,
        policy="first_of_data_centre",
    ):
        self._clock = clock
        self._published = published
        self._own_ip = own_ip
        self._local_peers = local_peers
        self._send = send
        self._limits = limits
        self._policy = reader_policy.make(policy)
        self.apply_changes = None
        self.pack_changes = None
        self._revision = None
        # The highest revision that any peer has announced.
        self._newest_revision = 0
        self._changes = deque(maxlen=CHANGES_LIMIT_COUNT)
        # The first of the changes is large if it leads to this revision.
        self._large_until = None
        self._large_ms = NEVER_MS
        self._sender = LargeChangesSender(
            clock=clock,
            send=send,
            read_changes=self._read_changes,
            wait_limit_ms=lambda: limits().large_wait_ms,
        )
        self._receiver = LargeChangesReceiver()
        # Whether the reader has announced that large changes will follow.
        self._is_queued = False
        self._last_large_ask_ms = NEVER_MS
        # When each revision after the present one was announced first, in order.
        self._heard = deque()
        self.outdated_count = 0
        self.large_received_count = 0
        self.large_missed_count = 0
        # Whether the last answer was for a later revision, but held no changes.
        self._changes_missing = False
        self._notice_arrived = asyncio.Event()
        # When each notice that is not answered yet was sent, by nonce.
        self._pending_asks = {}
        self._last_ask_ms = NEVER_MS
        self._unanswered_since_ms = None
        self._last_read_ms = NEVER_MS
        self._excluded_until_ms = {}

    @property
    def large_sent_bytes(self):
        """Return the size of all fragments of large changes that were sent."""
        return self._sender.sent_bytes

    @property
    def kept_bytes(self):
        """Return the size of all that is kept to be passed on."""
        changes_bytes = sum(len(answer) for _, _, answer in self._changes)
        return changes_bytes + self._sender.kept_bytes

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
            if self._revision is None:
                return 0.0
            if self._is_outdated():
                self._record_outdated(reader)
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
        limits = self._limits()
        is_new = self._published.age_ms > limits.reader_age_ms
        return 0.0 if is_new else limits.read_wait_ms

    async def _fetch_changes(self, reader):
        """Ask the reader for changes, and return whether they arrived."""
        spaced_ms = max(
            self._last_ask_ms + ASK_SPACING_MS,
            self._last_large_ask_ms + LARGE_SPACING_MS,
        )
        await self._sleep_until(min(spaced_ms, self._outdated_ms()))
        if self._is_outdated():
            return False
        self._is_queued = False
        self._ask(reader)
        until_ms = self._last_ask_ms + CHANGES_WAIT_MS
        while self._is_behind() and not self._changes_missing:
            if self._is_queued:
                return await self._receive_large(reader)
            if self._clock.now_ms() >= until_ms or self._is_outdated():
                return False
            await self._wait_for_notice(until_ms)
        return not self._is_behind()

    async def _receive_large(self, reader):
        """Wait for large changes, and return whether the store need not be read.

        Questions are repeated while nothing arrives, so that a lost reader is noticed.
        """
        before = self._revision
        self._last_large_ask_ms = self._last_ask_ms
        limits = self._limits()
        limit_ms = self._heard[0][1] + limits.large_wait_ms
        pause_ms = FRAGMENT_PAUSE_MS + random.uniform(0, FRAGMENT_PAUSE_JITTER_MS)
        while self._revision == before and self._is_queued:
            now_ms = self._clock.now_ms()
            if now_ms >= limit_ms or self._published.age_ms > limits.large_age_ms:
                self._record_missed("they did not arrive in time")
                return False
            arrived_ms = self._receiver.last_arrival_ms
            if arrived_ms is None:
                due_ms = self._last_ask_ms + ASK_INTERVAL_MS
            elif arrived_ms >= self._last_ask_ms:
                due_ms = arrived_ms + pause_ms
            else:
                due_ms = self._last_ask_ms + RESEND_WAIT_MS
            if now_ms >= due_ms:
                if self._reader() != reader:
                    return True  # The caller asks the next one.
                self._ask(reader)
                continue
            await self._wait_for_notice(
                min(due_ms, limit_ms), age_limit_ms=limits.large_age_ms
            )
        if self._revision != before:
            return True
        self._record_missed("the reader does not pass them on")
        return False

    def _record_outdated(self, reader):
        self.outdated_count += 1
        log.info(
            "copy not confirmed by the reader; reading the store",
            extra={
                "reader": reader,
                "at": self._revision,
                "age_ms": round(self._published.age_ms),
            },
        )

    def _record_missed(self, reason):
        self.large_missed_count += 1
        log.info(
            "large changes not received; reading the store",
            extra={"at": self._revision, "newest": self._newest_revision}
            | {"reason": reason},
        )

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
            self._keep_large(after, at, answer)
        elif at > after:
            self._changes.append((after, at, answer))
            self._limit_kept()
        self._changes_missing = False
        self._receiver.clear()
        is_newer = self._revision is not None and at > self._revision
        self._revision = at
        # A peer that announced a later revision was wrong, or will announce it again.
        # If that revision were kept, this gateway would call the store over and over.
        self._newest_revision = min(self._newest_revision, at)
        self._heard.clear()
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

    def _keep_large(self, after, at, answer):
        """Keep a large answer, together with all others as one.

        Then only one large configuration is kept.
        """
        if self.pack_changes is None:
            self._changes.clear()
            return
        now_ms = self._clock.now_ms()
        is_first_large = self._changes and self._changes[0][1] == self._large_until
        if is_first_large and now_ms - self._large_ms > LARGE_KEPT_MS:
            self._changes.popleft()
        if self._changes:
            after = self._changes[0][0]
        answers = [kept for _, _, kept in self._changes]
        packed = self.pack_changes([*answers, answer])
        self._changes.clear()
        self._changes.append((after, at, packed))
        self._large_until = at
        self._large_ms = now_ms
        self._limit_kept()

    def _limit_kept(self):
        while sum(len(answer) for _, _, answer in self._changes) > KEPT_LIMIT_BYTES:
            self._changes.popleft()

    def reset(self):
        """Start again without a copy: the store has to be read from the start."""
        self._revision = None
        self._changes.clear()
        self._sender.clear()
        self._receiver.clear()

    def on_ask(self, ip, notice):
        """Answer an ``AskNotice`` of another gateway."""
        if self._revision is None:
            return
        changes = self._changes_since(notice.at)
        is_queued = (
            not changes
            and notice.takes_fragments
            and notice.at < self._revision
            # Nobody else is to be sent that much for a small question.
            and ip in self._local_peers()
            and self._sender.accept(ip, notice)
        )
        fresh = self._fresh_notice(
            echo=notice.nonce, changes=changes, is_queued=is_queued
        )
        self._send(ip, fresh)

    def on_fresh(self, ip, notice):
        """Handle a ``FreshNotice``, sent as an answer or unasked."""
        if notice.at > self._newest_revision:
            self._newest_revision = notice.at
            if self._is_behind():
                self._record_heard(notice.at)
        asked_ms = self._pending_asks.pop(notice.echo, None)
        if asked_ms is not None:
            self._unanswered_since_ms = None
            self._apply_answer(ip, notice, asked_ms)
        self._notice_arrived.set()

    def _record_heard(self, revision):
        heard_ms = self._clock.now_ms()
        if len(self._heard) >= HEARD_LIMIT_COUNT:
            _, heard_ms = self._heard.pop()
        self._heard.append((revision, heard_ms))

    def on_fragment(self, ip, notice):
        """Handle a ``FragmentNotice``; only answers to own questions count."""
        now_ms = self._clock.now_ms()
        whole = self._receiver.add(ip, notice, now_ms=now_ms)
        if whole is not None:
            self._receiver.clear()
            self._apply_large(ip, notice, *whole)
        self._notice_arrived.set()

    def _apply_large(self, ip, notice, data, confirmed_ms):
        if self._revision is None or notice.at <= self._revision:
            return
        try:
            self.apply_changes(decompress(data), at=notice.at)
        except (BrokenPackageError, UnreadableChangesError) as error:
            self._is_queued = False
            self._exclude(ip, str(error))
            return
        self._record_applied(notice.at)
        self.large_received_count += 1
        self._published.record_answer(asked_ms=confirmed_ms)
        log.info(
            "large changes received",
            extra={"reader": ip, "at": notice.at, "compressed": len(data)},
        )

    def _record_applied(self, at):
        """Record that the changes up to ``at``, passed on by a peer, were applied."""
        self._revision = at
        # Only changes read from the store are passed on. Gateways that ask this
        # one for others read the store themselves.
        self._changes.clear()
        self._sender.clear()
        self._receiver.clear()
        while self._heard and self._heard[0][0] <= at:
            self._heard.popleft()

    def _apply_answer(self, ip, notice, asked_ms):
        if notice.age_ms > self._limits().own_read_age_ms:
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
            self._record_applied(notice.at)
        is_behind = notice.at > self._revision
        self._is_queued = is_behind and notice.is_queued
        self._changes_missing = is_behind and not notice.is_queued
        if not is_behind:
            self._published.record_answer(asked_ms=asked_ms - notice.age_ms)

    def _read_changes(self, at):
        """Return the changes for a follower at revision ``at``.

        Returns:
            ``(after, until, changes, time that they confirm)``; ``None`` if not all of
            them are kept.
        """
        if not self._changes or self._changes[0][0] > at:
            return None
        changes = self.pack_changes([answer for _, _, answer in self._changes])
        after, until = self._changes[0][0], self._changes[-1][1]
        return after, until, changes, self._published.asked_ms

    def _changes_since(self, at):
        """Return the store's answers from revision ``at`` to the present one.

        The list is empty if not all of them are kept or they are too large.
        """
        answers, size = [], 0
        for after, until, answer in reversed(self._changes):
            if until <= at:
                break
            if until == self._large_until:
                return []
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

    async def _wait_for_notice(self, until_ms, *, age_limit_ms=None):
        """Wait for a notice until ``until_ms`` or until the copy gets too old."""
        self._notice_arrived.clear()
        until_ms = min(until_ms, self._outdated_ms(age_limit_ms))
        wait_ms = max(SHORTEST_WAIT_MS, until_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await self._notice_arrived.wait()
        except TimeoutError:
            return

    def _outdated_ms(self, age_limit_ms=None):
        """Return when the present copy gets too old."""
        if age_limit_ms is None:
            age_limit_ms = self._limits().own_read_age_ms
        return self._published.asked_ms + age_limit_ms + 1

    def _is_outdated(self):
        return self._published.age_ms > self._limits().own_read_age_ms

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
        self._receiver.record_ask(reader, nonce, now_ms=now_ms)
        if len(self._pending_asks) > PENDING_ASKS_LIMIT_COUNT:
            del self._pending_asks[next(iter(self._pending_asks))]
        ask = AskNotice(
            format=FORMAT,
            nonce=nonce,
            at=self._revision,
            takes_fragments=True,
            package=self._receiver.package,
            missing=self._receiver.missing(reader),
        )
        self._send(reader, ask)

    def _exclude(self, ip, reason):
        self._excluded_until_ms[ip] = self._clock.now_ms() + EXCLUSION_MS
        log.info("reader excluded", extra={"reader": ip, "reason": reason})

    def _fresh_notice(self, *, echo, changes=(), is_queued=False):
        return FreshNotice(
            format=FORMAT,
            echo=echo,
            at=self._revision,
            age_ms=min(self._published.age_ms, EXCLUSION_MS),
            changes=list(changes),
            is_queued=is_queued,
        )
