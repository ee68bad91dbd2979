"""Decides which requests are not sent because their content crashes targets.

It handles content that crashes each target that begins to answer it and that keeps
coming: the same request again, or requests that share nothing but one part of their
prompts, at any process, among sound requests that share all other parts.
``tests.test_decisions_crash_suspects`` replays both.

A part gets the blame for a crash only if a request with it was lost there. An answer
that ended whole clears its request and the parts of it; its beginning does not, as
targets crash in the middle of answers too. A part that explains crashes takes the blame
for them from the parts beside it, so that a part which every request has is not blocked
for another one.

An answer that ends early is no evidence if its target goes on without it: a target
whose group lost another rank cuts off what it has, again and again, also streams that
are sound. Targets that end at once are no evidence against a request if some of them
did not have it: a rack may have ended.
"""

import collections
import enum
import functools
import hashlib
import zlib
from dataclasses import dataclass, field

CRASHES_LIMIT_COUNT = 3  # A single outage can cause two losses by chance.
SUSPICIOUS_CRASHES_COUNT = 2  # From here on a lost request is not sent again.
# The same limit for a part that was answered shortly before: many requests have it, so
# that some of them are at any target that crashes.
TRUSTED_CRASHES_LIMIT_COUNT = 6
TRUST_MS = 30_000.0
CONTENTS_LIMIT_COUNT = 2  # One request that is repeated says nothing about its parts.
# Callers repeat crashing content for minutes; afterwards it may have been mended.
LIFETIME_MS = 600_000.0
# The ends of this many targets at once may be an outage, and count as one crash for a
# request that only some of them had. For a part that all of them had they count as
# ``SUSPICIOUS_CRASHES_COUNT``: all requests of a service may share it.
OUTAGE_TARGETS_COUNT = 4
OUTAGE_WINDOW_MS = 100.0
TARGETS_LIMIT_COUNT = 32  # Crashed targets that are remembered.
# Lost requests that are remembered: for one of them, and for all, which together fit
# into one notice.
RECORDS_LIMIT_COUNT = 32
RECORDS_TOTAL_COUNT = 192
PARTS_LIMIT_COUNT = 16
EVIDENCE_LIMIT_COUNT = TRUSTED_CRASHES_LIMIT_COUNT
ANSWERS_LIMIT_COUNT = 4096  # Parts with an answer within ``TRUST_MS``.
DIGEST_BYTES = 6
FIRST_CLIENT_ERROR_STATUS = 400


def shows_run(status):
    """Return whether an answer with this HTTP status shows a run without a crash.

    Targets also give errors to requests that they did not begin to run.
    """
    return status < FIRST_CLIENT_ERROR_STATUS


class Reachability(enum.Enum):
    """What a target does with a new connection.

    The host of a target that crashed goes on, and refuses connections. A target that is
    silent may be cut off, or without power.
    """

    ACCEPTING = "accepting"
    REFUSING = "refusing"
    SILENT = "silent"


def may_show_crash(*, is_listed, is_leaving, is_stalled):
    """Return whether a connection that ended may show that its target crashed.

    If so, the ``Reachability`` of the target tells, see ``shows_crash``.

    Args:
        is_listed: Whether the platform still lists the target.
        is_leaving: Whether the target leaves: it then ends by plan.
        is_stalled: Whether its group is stalled: it then begins no requests, and cuts
            off those that it has.
    """
    return is_listed and not is_leaving and not is_stalled


def shows_crash(reachability, *, is_begun):
    """Return whether the loss of a request counts as a crash of its target.

    A target that goes on cuts off answers that it had begun, as a rank does whose group
    lost another one. What it had not begun it would reject.

    Args:
        reachability: The ``Reachability`` of the target after the loss.
        is_begun: Whether the target had begun to answer the request.
    """
    if reachability is Reachability.ACCEPTING:
        return not is_begun
    return reachability is Reachability.REFUSING


@dataclass(frozen=True, kw_only=True)
class RequestContent:
    """What may make a request crash its target.

    Args:
        call: All of the request, as bytes; equal if it is sent again.
        part_names: The parts of its prompt that other requests may have too.
        scope: Name of what runs the parts: a part may crash one service only.
    """

    call: tuple[bytes, ...]
    part_names: tuple[str, ...] = ()
    scope: str = ""

    @functools.cached_property
    def digest(self):
        """Return the digest of the whole request."""
        return _digest(*self.call)

    @functools.cached_property
    def parts(self):
        """Return the digests of the parts, in their order."""
        scope = self.scope.encode()
        return tuple(_digest(scope, name.encode()) for name in self.part_names)


@dataclass(frozen=True, kw_only=True)
class LostRequest:
    """A request that was lost, with the rest of its answer, as its target crashed.

    Args:
        target: Name and incarnation of the target.
        digest: Digest of the whole request.
        parts: Digests of its shared parts, in their order.
        is_begun: Whether the target had begun to answer it.
        at_ms: When it was lost, by the clock of the process.
    """

    target: str
    digest: bytes
    parts: tuple[bytes, ...]
    is_begun: bool
    at_ms: float


@dataclass(kw_only=True)
class _Crash:
    at_ms: float
    lost: dict = field(default_factory=dict)  # ``LostRequest`` by digest.

    @property
    def candidates(self):
        """The lost requests that can have caused it: if any was begun, only those."""
        begun = [lost for lost in self.lost.values() if lost.is_begun]
        return begun or list(self.lost.values())


class CrashSuspects:
    """Remembers crashes and answers, and decides what is blocked.

    Attributes:
        version: Changes with what other processes should know; 0 if that is nothing.
    """

    def __init__(self):
        self._crashes = collections.OrderedDict()
        # When each part was last answered; ``_cleared_ms`` holds those that occur in
        # ``_crashes``, as long as they do.
        self._answered_ms = collections.OrderedDict()
        self._cleared_ms = {}
        self._last_crash_ms = {}
        self._blocked_parts = frozenset()
        self._suspicious_parts = frozenset()
        self._blocked_contents = frozenset()
        self._suspicious_contents = frozenset()
        self._repeated_contents = frozenset()
        self.version = 0

    @property
    def blocked_count(self):
        """Return the number of parts and whole requests that are blocked."""
        return len(self._blocked_parts) + len(self._blocked_contents)

    def record_loss(self, content, *, target, is_begun, now_ms):
        """Record that a target crashed before it had answered a request.

        Args:
            content: The ``RequestContent`` of the lost request.
            target: Name and incarnation of the target.
            is_begun: Whether the target had begun to answer.
        """
        lost = LostRequest(
            target=target,
            digest=content.digest,
            parts=content.parts,
            is_begun=is_begun,
            at_ms=now_ms,
        )
        if self._add(lost):
            self._decide()

    def record_answer(self, *, target, sent_ms):
        """Record that a part of an answer arrived.

        A target that answers what was sent later than its crash has not crashed.

        Args:
            target: Name and incarnation of the target that answered.
            sent_ms: When the request was sent.
        """
        crash = self._crashes.get(target)
        if crash is not None and sent_ms > crash.at_ms:
            del self._crashes[target]
            self._decide()

    def record_run(self, content, *, now_ms):
        """Record that an answer that shows a run ended whole, see ``shows_run``.

        Args:
            content: The ``RequestContent`` of the answered request.
        """
        if self._clear_content(content, now_ms):
            self._decide()

    def _clear_content(self, content, now_ms):
        """Record a run of the content; return whether it clears anything."""
        is_cleared = False
        for part in content.parts:
            self._answered_ms[part] = now_ms
            self._answered_ms.move_to_end(part)
            is_cleared |= self._clear(part, now_ms)
        if self._crashes and not is_cleared:
            is_cleared = self._clear(content.digest, now_ms)
        self._drop_answers(now_ms)
        return is_cleared

    def is_blocked(self, content, *, now_ms):
        """Return whether requests with this content must not be sent."""
        self._drop_expired(now_ms)
        if self._blocked_parts and not self._blocked_parts.isdisjoint(content.parts):
            return True
        return bool(self._blocked_contents) and content.digest in self._blocked_contents

    def may_send_again(self, content, *, now_ms):
        """Return whether a request that was lost in a crash may be sent once more."""
        if self.is_blocked(content, now_ms=now_ms):
            return False
        if content.digest in self._suspicious_contents:
            return False
        return self._suspicious_parts.isdisjoint(content.parts)

    def may_run_beside(self, content, running, *, now_ms):
        """Return whether a request may run while others do.

        A caller in a hurry sends several at once. If such requests were lost in several
        crashes, each may crash a target before the first one shows what they do.

        Args:
            content: The ``RequestContent`` of the request.
            running: Those of the requests that run.
        """
        self._drop_expired(now_ms)
        suspicions = self._suspicious_parts.intersection(content.parts)
        suspicions |= self._repeated_contents & {content.digest}
        return not suspicions or all(
            suspicions.isdisjoint((other.digest, *other.parts)) for other in running
        )

    def was_lost(self, content):
        """Return whether the whole request was lost in a crash that is remembered."""
        return content.digest in self._last_crash_ms

    def lost_requests(self):
        """Return the ``LostRequest`` records that other processes should know."""
        return [
            lost for crash in self._crashes.values() for lost in crash.lost.values()
        ]

    def cleared_ms(self):
        """Return when each part or request in the records was last answered."""
        return dict(self._cleared_ms)

    def records(self, *, now_ms):
        """Return the records in plain types, with ages in place of times.

        Returns:
            The lost requests and the answers, as tuples for ``merge_records``.
        """
        lost = [
            (
                lost.target,
                lost.digest,
                lost.parts,
                lost.is_begun,
                round(now_ms - lost.at_ms),
            )
            for lost in self.lost_requests()
        ]
        cleared = [
            (key, round(now_ms - at_ms)) for key, at_ms in self._cleared_ms.items()
        ]
        return lost, cleared

    def merge_records(self, lost, cleared, *, now_ms, is_refuted=lambda lost: False):
        """Add the records of another process; malformed ones are left out.

        Args:
            is_refuted: ``is_refuted(lost_request)`` returns whether this process knows
                better.
        """
        told = [
            LostRequest(
                target=target,
                digest=digest,
                parts=tuple(parts[:PARTS_LIMIT_COUNT]),
                is_begun=is_begun,
                at_ms=now_ms - max(0, age_ms),
            )
            for target, digest, parts, is_begun, age_ms in lost[:RECORDS_TOTAL_COUNT]
        ]
        self.merge(
            [lost for lost in told if _is_valid(lost) and not is_refuted(lost)],
            {
                key: now_ms - max(0, age_ms)
                for key, age_ms in cleared[: RECORDS_TOTAL_COUNT * PARTS_LIMIT_COUNT]
            },
            now_ms=now_ms,
        )

    def merge(self, lost_requests, cleared_ms, *, now_ms):
        """Add what another process knows.

        Args:
            lost_requests: Its ``LostRequest`` records, times by this process's clock.
            cleared_ms: When parts and requests were last answered there.
        """
        is_new = False
        for lost in lost_requests:
            if now_ms - LIFETIME_MS < lost.at_ms <= now_ms:
                is_new |= self._add(lost)
        known = {
            key
            for crash in self._crashes.values()
            for lost in crash.lost.values()
            for key in (lost.digest, *lost.parts)
        }
        for key, at_ms in cleared_ms.items():
            if at_ms <= now_ms and key in known:
                is_new |= at_ms > self._cleared_ms.get(key, float("-inf"))
                self._cleared_ms[key] = max(at_ms, self._cleared_ms.get(key, at_ms))
        if is_new:
            self._decide()

    def _add(self, lost):
        """Add a ``LostRequest``; return whether it is new."""
        crash = self._crashes.setdefault(lost.target, _Crash(at_ms=lost.at_ms))
        known = crash.lost.get(lost.digest)
        if known is not None and known.is_begun >= lost.is_begun:
            return False
        crash.at_ms = min(crash.at_ms, lost.at_ms)
        crash.lost[lost.digest] = lost
        if len(crash.lost) > RECORDS_LIMIT_COUNT:
            digest = min(crash.lost, key=self._evidence_rank(crash))
            del crash.lost[digest]
            if digest == lost.digest:
                return False
        for part in lost.parts:
            if part in self._answered_ms:
                answered_ms = self._answered_ms[part]
                self._cleared_ms[part] = max(
                    answered_ms, self._cleared_ms.get(part, answered_ms)
                )
        return True

    def _evidence_rank(self, crash):
        """Return the sort key of the digests in a crash; the highest is kept longest.

        A request that was lost in another crash too is the one that may have caused
        both. The rest does not depend on the order of arrival, so that processes that
        are told the same keep the same.
        """
        repeated = {
            digest
            for other in self._crashes.values()
            if other is not crash
            for digest in other.lost
        }

        def rank(digest):
            return digest in repeated, crash.lost[digest].is_begun, digest

        return rank

    def _clear(self, key, now_ms):
        """Record an answer; return whether it clears a crash that still counted."""
        last_crash_ms = self._last_crash_ms.get(key)
        if last_crash_ms is None:
            return False
        previous_ms = self._cleared_ms.get(key, float("-inf"))
        self._cleared_ms[key] = now_ms
        return previous_ms <= last_crash_ms

    def _drop_answers(self, now_ms):
        while self._answered_ms:
            part, at_ms = next(iter(self._answered_ms.items()))
            is_recent = now_ms - at_ms <= TRUST_MS
            if is_recent and len(self._answered_ms) <= ANSWERS_LIMIT_COUNT:
                return
            del self._answered_ms[part]

    def _drop_expired(self, now_ms):
        expired = [
            target
            for target, crash in self._crashes.items()
            if now_ms - crash.at_ms >= LIFETIME_MS
        ]
        for target in expired:
            del self._crashes[target]
        if expired:
            self._decide()

    def _decide(self):
        """Decide anew what is blocked; the order of the events does not matter."""
        crashes = dict(self._crashes)
        outages = self._outages()
        # The same request in each of several crashes is evidence by itself, whatever
        # else the targets had begun.
        targets_by_content = self._targets_by_content()
        crashes_by_content = {
            digest: self._count_with_content(digest, targets, outages)
            for digest, targets in targets_by_content.items()
        }
        self._repeated_contents = frozenset(
            digest
            for digest, targets in targets_by_content.items()
            if len(targets) >= SUSPICIOUS_CRASHES_COUNT
        )
        self._blocked_contents = frozenset(
            digest
            for digest, crashes_count in crashes_by_content.items()
            if crashes_count >= CRASHES_LIMIT_COUNT
        )
        self._suspicious_contents = frozenset(
            digest
            for digest, crashes_count in crashes_by_content.items()
            if crashes_count >= SUSPICIOUS_CRASHES_COUNT
        )
        blocked = set()
        while part := self._most_likely_part(crashes, outages):
            blocked.add(part)
            crashes = {
                target: crash
                for target, crash in crashes.items()
                if not any(part in lost.parts for lost in crash.candidates)
            }
        self._blocked_parts = frozenset(blocked)
        self._suspicious_parts = frozenset(
            part
            for part, lost in self._lost_by_part(crashes).items()
            if self._count_with_part(
                part, targets := {request.target for request in lost}, outages
            )
            >= SUSPICIOUS_CRASHES_COUNT
            and not self._is_trusted(part, targets, crashes)
        )
        self._drop_surplus()
        self._index()

    def _outages(self):
        """Return the sets of targets that ended at once and may be outages."""
        groups = []
        for target, crash in sorted(
            self._crashes.items(), key=lambda item: item[1].at_ms
        ):
            if not groups or crash.at_ms - groups[-1][0] > OUTAGE_WINDOW_MS:
                groups.append((crash.at_ms, set()))
            groups[-1][1].add(target)
        return [group for _, group in groups if len(group) >= OUTAGE_TARGETS_COUNT]

    def _count_with_content(self, digest, targets, outages):
        """Return how many crashes of the targets count for a whole request.

        Targets that ended at once had an outage if one of them did not have it.
        """
        count = len(targets)
        for outage in outages:
            lost_count = len(outage & targets)
            if lost_count and any(
                digest not in self._crashes[target].lost for target in outage
            ):
                count -= lost_count - 1
        return count

    def _count_with_part(self, part, targets, outages):
        """Return how many crashes of the targets count for a part."""
        count = len(targets)
        for outage in outages:
            lost_count = len(outage & targets)
            if lost_count:
                count -= lost_count - 1
                if lost_count == len(outage):
                    count += SUSPICIOUS_CRASHES_COUNT - 1
        return count

    def _lost_by_part(self, crashes):
        """Return the requests lost with each part that was not answered since."""
        lost_by_part = {}
        for crash in crashes.values():
            for lost in crash.candidates:
                for part in lost.parts:
                    if self._still_counts(crash, part):
                        lost_by_part.setdefault(part, []).append(lost)
        return lost_by_part

    def _targets_by_content(self):
        """Return the crashed targets by each request that was not answered since."""
        targets_by_content = {}
        for target, crash in self._crashes.items():
            for digest in crash.lost:
                if self._still_counts(crash, digest):
                    targets_by_content.setdefault(digest, set()).add(target)
        return targets_by_content

    def _still_counts(self, crash, key):
        return crash.at_ms > self._cleared_ms.get(key, float("-inf"))

    def _most_likely_part(self, crashes, outages):
        """Return the part that explains most crashes, if it may be blocked."""
        best = None
        for part, lost in self._lost_by_part(crashes).items():
            targets = {request.target for request in lost}
            crashes_count = self._count_with_part(part, targets, outages)
            if crashes_count < CRASHES_LIMIT_COUNT:
                continue
            is_trusted = self._is_trusted(part, targets, crashes)
            contents_count = len({request.digest for request in lost})
            if is_trusted and crashes_count < TRUSTED_CRASHES_LIMIT_COUNT:
                continue
            if contents_count < CONTENTS_LIMIT_COUNT:
                continue
            # Later parts are in fewer prompts.
            position = sum(request.parts.index(part) for request in lost) / len(lost)
            rank = (not is_trusted, len(targets), position, part)
            if best is None or rank > best:
                best = rank
        return best[-1] if best else None

    def _is_trusted(self, part, targets, crashes):
        first_ms = min(crashes[target].at_ms for target in targets)
        answered_ms = self._cleared_ms.get(part, float("-inf"))
        return first_ms - answered_ms <= TRUST_MS

    def _drop_surplus(self):
        """Remove the oldest crashes, first those that block nothing."""
        blocked = self._blocked_parts | self._blocked_contents
        evidence_counts = dict.fromkeys(blocked, 0)
        kept = set()
        for target, crash in reversed(self._crashes.items()):
            keys = {part for lost in crash.lost.values() for part in lost.parts}
            for key in (keys | crash.lost.keys()) & blocked:
                evidence_counts[key] += 1
                if evidence_counts[key] <= EVIDENCE_LIMIT_COUNT:
                    kept.add(target)
        surplus_count = len(self._crashes) - TARGETS_LIMIT_COUNT
        targets = sorted(self._crashes, key=kept.__contains__)
        for target in targets[: max(0, surplus_count)]:
            del self._crashes[target]
        self._drop_surplus_records()

    def _drop_surplus_records(self):
        """Remove lost requests beyond the total, first those of the oldest crashes.

        Those that are evidence stay: lost in another crash too, or with a blocked part.
        """
        crashes = sorted(self._crashes.values(), key=lambda crash: crash.at_ms)
        surplus_count = sum(len(crash.lost) for crash in crashes) - RECORDS_TOTAL_COUNT
        if surplus_count <= 0:
            return
        crashes_by_content = collections.Counter(
            digest for crash in crashes for digest in crash.lost
        )

        def is_evidence(lost):
            is_repeated = crashes_by_content[lost.digest] > 1
            return is_repeated or not self._blocked_parts.isdisjoint(lost.parts)

        for droppable in (lambda lost: not is_evidence(lost), lambda lost: True):
            for crash in crashes:
                for digest in sorted(crash.lost, key=self._evidence_rank(crash)):
                    if surplus_count <= 0:
                        return
                    if len(crash.lost) > 1 and droppable(crash.lost[digest]):
                        del crash.lost[digest]
                        surplus_count -= 1

    def _index(self):
        self._last_crash_ms = {}
        for crash in self._crashes.values():
            for lost in crash.lost.values():
                for key in (lost.digest, *lost.parts):
                    previous_ms = self._last_crash_ms.get(key, crash.at_ms)
                    self._last_crash_ms[key] = max(previous_ms, crash.at_ms)
        self._cleared_ms = {
            key: at_ms
            for key, at_ms in self._cleared_ms.items()
            if key in self._last_crash_ms
        }
        self.version = self._make_version()

    def _make_version(self):
        """Return a number that is equal in processes that know the same."""
        if not self._crashes:
            return 0
        known = [
            b"%s %s %d" % (target.encode(), lost.digest, lost.is_begun)
            for target, crash in self._crashes.items()
            for lost in crash.lost.values()
        ]
        for key, at_ms in self._cleared_ms.items():
            last_crash_ms = self._last_crash_ms[key]
            if at_ms >= last_crash_ms - TRUST_MS:
                known.append(b"%s %d" % (key, at_ms >= last_crash_ms))
        return zlib.crc32(b"\n".join(sorted(known))) or 1


def _is_valid(lost):
    return all(len(digest) == DIGEST_BYTES for digest in (lost.digest, *lost.parts))


def _digest(*values):
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for value in values:
        digest.update(value)
        digest.update(b"\0")
    return digest.digest()
