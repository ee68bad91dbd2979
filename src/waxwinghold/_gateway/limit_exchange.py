"""Exchanges with other gateways what limits targets have named."""

import logbook

from .asked_exchange import AskedExchange
from .notices import FORMAT, AskLimitsNotice, LimitsNotice

log = logbook.Logger("limits")

# Limits of many targets that change often may not fill the gateways' links.
INTERVAL_MS = 250.0
REFRESH_INTERVAL_MS = 1000.0


class LimitExchange(AskedExchange):
    """Exchanges what gateways know about limits.

    Args:
        limits: The ``RequestLimits``.
    """

    def __init__(self, *, clock, limits, send):
        super().__init__(clock=clock, send=send, interval_ms=INTERVAL_MS)
        self._limits = limits
        self._refreshed_ms = float("-inf")

    def _may_know_more(self, ip):
        if super()._may_know_more(ip):
            return True
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._refreshed_ms >= REFRESH_INTERVAL_MS
        has_limits = bool(self._told_versions[ip])
        return is_due and has_limits and self._limits.wants_refresh(now_ms=now_ms)

    def version(self):
        return self._limits.version(now_ms=self._clock.now_ms())

    def question(self, nonce):
        return AskLimitsNotice(format=FORMAT, nonce=nonce)

    def answer(self, nonce):
        now_ms = self._clock.now_ms()
        return LimitsNotice(
            format=FORMAT,
            echo=nonce,
            version=self._limits.version(now_ms=now_ms),
            limits=self._limits.records(now_ms=now_ms),
        )

    def learn(self, ip, notice):
        now_ms = self._refreshed_ms = self._clock.now_ms()
        self._limits.merge_records(notice.limits, now_ms=now_ms)
        log.info("limits learnt", extra={"peer": ip, "limits": len(notice.limits)})
