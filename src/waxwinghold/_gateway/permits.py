"""Permits for requests to targets that have named a limit, or that are cold.

The gateways choose one of them for each such target, which issues the permits; the
others ask it. A gateway alone issues all of them itself.
"""

import random
from dataclasses import dataclass

import logbook

from .._decisions.cold_targets import (
    COLD_BURST_MS,
    COLD_PERMIT_LIFETIME_MS,
    ColdTargets,
    HeardShare,
)
from .._decisions.request_limits import (
    PERMIT_LIFETIME_MS,
    HeldPermits,
    PermitIssuer,
    RequestLimits,
    ReturnTimes,
    issuer_of,
)
from .asked_exchange import new_nonce
from .notices import FORMAT, AskPermitNotice, PermitNotice

log = logbook.Logger("permits")

QUESTION_LIFETIME_MS = 1000.0  # A later answer counts as lost.
QUESTIONS_LIMIT_COUNT = 256
# A process that has just started may issue permits of cold targets that another one
# issues as well. It hears the others within two intervals of their notices.
LISTEN_MS = 2000.0


@dataclass(frozen=True, kw_only=True)
class _Question:
    ip: str
    target: str
    asked_ms: float


class Permits:
    """Asks for permits, holds them, and issues those of some targets.

    Args:
        cold: The ``ColdTargets``.

    Attributes:
        limits: The ``RequestLimits``.
        listeners: Functions that are called when a permit was issued or denied.
    """

    def __init__(self, *, clock, cold=None):
        self._clock = clock
        self.cold = cold or ColdTargets()
        self._heard_share = HeardShare()
        self._listen_until_ms = float("-inf")
        self.limits = RequestLimits()
        self.listeners = []
        self._rng = random.Random()
        self._held = HeldPermits()
        self._issuer = PermitIssuer()
        self._return_times = ReturnTimes()
        self._questions = {}
        self._own_ip = ""
        self._send = lambda ip, notice: None
        self._active_ips = tuple

    def connect(self, *, own_ip, active_ips, send, seed_ips=()):
        """Issue permits together with other gateways.

        Args:
            own_ip: Address of this gateway.
            active_ips: Returns the addresses of the other active gateways.
            send: Sends a notice to a gateway, given its address and the notice.
            seed_ips: Addresses of other gateways that should exist.
        """
        if seed_ips:
            now_ms = self._clock.now_ms()
            self._listen_until_ms = now_ms + LISTEN_MS
            self._heard_share = HeardShare(expected=seed_ips, now_ms=now_ms)
        self._own_ip = own_ip
        self._active_ips = active_ips
        self._send = send

    @property
    def has_limits(self):
        """Return whether any target may have a limit; quick, never wrongly false."""
        if len(self.limits):
            return True
        if not self.cold.is_configured:
            return False
        return self.cold.may_apply(now_ms=self._clock.now_ms())

    def is_limited_as_cold(self, target):
        """Return whether a target needs permits because it is cold."""
        now_ms = self._clock.now_ms()
        return self.cold.per_second(target, now_ms=now_ms) is not None

    def _per_second(self, target, now_ms):
        """Return the limit of a target: the lower of two; ``None`` for none."""
        named = self.limits.per_second(target, now_ms=now_ms)
        cold = self.cold.per_second(target, now_ms=now_ms)
        if named is None or cold is None:
            return cold if named is None else named
        return min(named, cold)

    def may_send(self, target):
        """Return whether a target may get a request now.

        Args:
            target: Its name and incarnation.
        """
        if not self.has_limits:
            return True
        now_ms = self._clock.now_ms()
        if self._per_second(target, now_ms) is None:
            return True
        return self._held.has(target, now_ms=now_ms)

    def use(self, target):
        """Use up the permit for a request to a target, if it has a limit."""
        if self.has_limits:
            self._held.use(target, now_ms=self._clock.now_ms())

    def wait_ms(self, target):
        """Return for how long a target surely gets no request because of its limit."""
        if not self.has_limits:
            return 0.0
        now_ms = self._clock.now_ms()
        if self._per_second(target, now_ms) is None:
            return 0.0
        return self._held.wait_ms(target, now_ms=now_ms)

    def want(self, targets):
        """Ask for permits for some of these targets, which all have limits."""
        now_ms = self._clock.now_ms()
        for target in self._held.wanted(targets, now_ms=now_ms, rng=self._rng):
            per_second = self._per_second(target, now_ms)
            if per_second is None:
                continue
            issuer_ip = issuer_of(target, [self._own_ip, *self._active_ips()])
            if issuer_ip == self._own_ip:
                wait_ms = self._issue(target, per_second)
                self._take(target, wait_ms, asked_ms=now_ms)
            else:
                self._ask(issuer_ip, target, per_second)

    def expected_per_second(self, targets):
        """Return how many permits a second this gateway can expect for some targets."""
        now_ms = self._clock.now_ms()
        limits = [self._per_second(target, now_ms) for target in targets]
        per_second = sum(limit for limit in limits if limit)
        return per_second / (1 + len(self._active_ips()))

    def retry_after_ms(self, targets, *, wait_ms):
        """Return after how many milliseconds a rejected caller may come back.

        Args:
            targets: The targets that may take its request.
            wait_ms: For how long surely none of them may.
        """
        return self._return_times.retry_after_ms(
            wait_ms=wait_ms,
            per_second=self.expected_per_second(targets),
            now_ms=self._clock.now_ms(),
            rng=self._rng,
        )

    def forget_ended(self):
        """Forget what is over, and note which gateways are heard."""
        self._heard_share.update(self._active_ips(), now_ms=self._clock.now_ms())
        self._held.forget_ended(now_ms=self._clock.now_ms())

    def on_ask(self, ip, notice):
        """Answer the ``AskPermitNotice`` of another gateway."""
        if ip not in self._active_ips():
            log.warn("question for a permit of no gateway", extra={"peer": ip})
            return
        wait_ms = self._issue(notice.target, notice.per_second)
        answer = PermitNotice(format=FORMAT, echo=notice.nonce, wait_ms=wait_ms)
        self._send(ip, answer)

    def on_permit(self, ip, notice):
        """Apply a ``PermitNotice`` that answers a question of this gateway."""
        question = self._questions.pop(notice.echo, None)
        if question is None or question.ip != ip:
            log.warn("unasked permit ignored", extra={"peer": ip})
            return
        if self._clock.now_ms() - question.asked_ms < QUESTION_LIFETIME_MS:
            self._take(question.target, notice.wait_ms, asked_ms=question.asked_ms)
            for listener in self.listeners:
                listener()

    def _issue(self, target, asked_per_second):
        """Return 0 for a permit, or the time until the next one in milliseconds."""
        now_ms = self._clock.now_ms()
        per_second = self._per_second(target, now_ms)
        # A limit that was lowered may have been heard of by the other gateway only.
        if per_second is None or asked_per_second < per_second:
            per_second = asked_per_second
        if not self._is_cold_rate(target, per_second, now_ms):
            return self._issuer.issue(target, per_second=per_second, now_ms=now_ms)
        if now_ms < self._listen_until_ms:
            return self._listen_until_ms - now_ms
        share = self._heard_share.update(self._active_ips(), now_ms=now_ms)
        return self._issuer.issue(
            target,
            per_second=per_second * share,
            now_ms=now_ms,
            burst_ms=COLD_BURST_MS,
        )

    def _is_cold_rate(self, target, per_second, now_ms):
        """Return whether a rate is that of a cold target, not one that it named.

        The other gateway may have heard first that the target is cold.
        """
        if not self.cold.is_configured:
            return False
        if self.cold.per_second(target, now_ms=now_ms) is not None:
            return True
        named = self.limits.per_second(target, now_ms=now_ms)
        return named is None or per_second < named

    def _take(self, target, wait_ms, *, asked_ms):
        now_ms = self._clock.now_ms()
        if wait_ms:
            self._held.deny(target, wait_ms=wait_ms, now_ms=now_ms)
            return
        lifetime_ms = PERMIT_LIFETIME_MS
        if self.is_limited_as_cold(target):
            # Counts from the question, as the answer may have taken long.
            lifetime_ms = COLD_PERMIT_LIFETIME_MS - (now_ms - asked_ms)
        self._held.add(target, now_ms=now_ms, lifetime_ms=lifetime_ms)

    def _ask(self, ip, target, per_second):
        nonce, now_ms = new_nonce(), self._clock.now_ms()
        if len(self._questions) >= QUESTIONS_LIMIT_COUNT:
            self._questions.pop(next(iter(self._questions)))
        self._questions[nonce] = _Question(ip=ip, target=target, asked_ms=now_ms)
        notice = AskPermitNotice(
            format=FORMAT, nonce=nonce, target=target, per_second=per_second
        )
        self._send(ip, notice)
