"""Exchanges with other gateways what is known about requests that crash targets."""

import random

import logbook

from .notices import FORMAT, AskSuspectsNotice, SuspectsNotice

log = logbook.Logger("suspects")

NONCE_BITS = 63
ASK_INTERVAL_MS = 100.0  # Between two questions to the same gateway.


class SuspectExchange:
    """Asks a gateway that knows something else, and answers such questions.

    Nothing is learnt from an unasked datagram: what a notice says counts only if it
    repeats the random number of a question to that address, so that a forged sender
    address is of no use.

    Args:
        suspects: The ``CrashSuspects``.
        target_pool: The ``TargetPool``: a target that still answers has not crashed.
        send: Sends a notice to a gateway, given its address and the notice.

    Attributes:
        unasked_count: Notices that answered no question.
    """

    def __init__(self, *, clock, suspects, target_pool, send):
        self._clock = clock
        self._suspects = suspects
        self._target_pool = target_pool
        self._send = send
        self._asked = {}
        self._learnt_versions = {}
        self.unasked_count = 0

    def on_version(self, ip, version):
        """Ask the gateway at ``ip`` if its version shows that it knows more."""
        if version in (0, self._suspects.version, self._learnt_versions.get(ip)):
            return
        now_ms = self._clock.now_ms()
        _, asked_ms = self._asked.get(ip, (0, float("-inf")))
        if now_ms - asked_ms < ASK_INTERVAL_MS:
            return
        nonce = random.SystemRandom().getrandbits(NONCE_BITS) | 1
        self._asked[ip] = (nonce, now_ms)
        self._send(ip, AskSuspectsNotice(format=FORMAT, nonce=nonce))

    def on_silence(self, ip):
        """Forget a gateway that is no longer active."""
        self._asked.pop(ip, None)
        self._learnt_versions.pop(ip, None)

    def on_ask(self, ip, notice):
        """Answer an ``AskSuspectsNotice``."""
        lost, cleared = self._suspects.records(now_ms=self._clock.now_ms())
        answer = SuspectsNotice(
            format=FORMAT,
            echo=notice.nonce,
            version=self._suspects.version,
            lost=lost,
            cleared=cleared,
        )
        self._send(ip, answer)

    def on_told(self, ip, notice):
        """Apply a ``SuspectsNotice`` that answers a question of this gateway."""
        nonce, asked_ms = self._asked.get(ip, (0, 0.0))
        if not nonce or notice.echo != nonce:
            self.unasked_count += 1
            log.warn("unasked suspects notice ignored", extra={"peer": ip})
            return
        self._asked[ip] = (0, asked_ms)
        self._learnt_versions[ip] = notice.version
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
