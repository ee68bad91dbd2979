"""Exchanges with other gateways what is known about requests that crash targets."""

import logbook

from .asked_exchange import AskedExchange
from .notices import FORMAT, AskSuspectsNotice, SuspectsNotice

log = logbook.Logger("suspects")


class SuspectExchange(AskedExchange):
    """Exchanges what gateways know about crashes.

    Args:
        suspects: The ``CrashSuspects``.
        target_pool: The ``TargetPool``: a target that still answers has not crashed.
    """

    def __init__(self, *, clock, suspects, target_pool, send):
        super().__init__(clock=clock, send=send)
        self._suspects = suspects
        self._target_pool = target_pool

    def version(self):
        return self._suspects.version

    def question(self, nonce):
        return AskSuspectsNotice(format=FORMAT, nonce=nonce)

    def answer(self, nonce):
        lost, cleared = self._suspects.records(now_ms=self._clock.now_ms())
        return SuspectsNotice(
            format=FORMAT,
            echo=nonce,
            version=self._suspects.version,
            lost=lost,
            cleared=cleared,
        )

    def learn(self, ip, notice):
        self._suspects.merge_records(
            notice.lost,
            notice.cleared,
            now_ms=self._clock.now_ms(),
            is_refuted=self._is_alive,
        )
        log.info(
            "crashes learnt",
            extra={
                "peer": ip,
                "lost": len(notice.lost),
                "blocked": self._suspects.blocked_count,
            },
        )

    def _is_alive(self, lost):
        """Return whether the target has answered this gateway since."""
        name = lost.target.partition("/")[0]
        target = self._target_pool.get(name)
        return (
            target is not None
            and target.incarnation == lost.target
            and target.answered_send_ms > lost.at_ms
        )
