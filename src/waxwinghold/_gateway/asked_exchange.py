"""Exchanges knowledge with other gateways by question and answer."""

import abc
import random

import logbook

log = logbook.Logger("exchange")

NONCE_BITS = 63
ASK_INTERVAL_MS = 100.0  # Between two questions to the same gateway.
# All may ask the one gateway that knows something else; it learns the rest meanwhile.
ANSWERS_PER_INTERVAL = 2


def new_nonce():
    """Return a random number that cannot be guessed and is not 0."""
    return random.SystemRandom().getrandbits(NONCE_BITS) | 1


class AskedExchange(abc.ABC):
    """Asks a gateway that knows something else, and answers such questions.

    Nothing is learnt from an unasked datagram: what a notice says counts only if it
    repeats the random number of a question to that address, so that a forged sender
    address is of no use.

    Args:
        send: Sends a notice to a gateway, given its address and the notice.
        interval_ms: Shortest time in milliseconds between two questions to any
            gateways; a random one is then asked.

    Attributes:
        unasked_count: Notices that answered no question.
    """

    def __init__(self, *, clock, send, interval_ms=0.0):
        self._clock = clock
        self._send = send
        self._interval_ms = interval_ms
        self._asked = {}
        self._last_asked_ms = float("-inf")
        self._last_answered_ms = float("-inf")
        self._learnt_versions = {}
        self._told_versions = {}
        self.unasked_count = 0

    @abc.abstractmethod
    def version(self):
        """Return the version of what this gateway knows; 0 if that is nothing."""

    @abc.abstractmethod
    def question(self, nonce):
        """Return the notice that asks another gateway for what it knows."""

    @abc.abstractmethod
    def answer(self, nonce):
        """Return the notice that tells another gateway what this one knows."""

    @abc.abstractmethod
    def learn(self, ip, notice):
        """Apply the answer of the gateway at ``ip``."""

    def on_version(self, ip, version):
        """Ask the gateway at ``ip`` if its version shows that it knows more."""
        self._told_versions[ip] = version
        now_ms = self._clock.now_ms()
        if now_ms - self._last_asked_ms < self._interval_ms:
            return
        if self._interval_ms:
            self._last_asked_ms = now_ms
            # Notices come in a fixed order; the next one may always be of the same.
            ips = [other for other in self._told_versions if self._may_know_more(other)]
            if not ips:
                return
            ip = random.choice(ips)
        elif not self._may_know_more(ip):
            return
        self._ask(ip, now_ms)

    def _may_know_more(self, ip):
        version = self._told_versions[ip]
        return version not in (0, self.version(), self._learnt_versions.get(ip))

    def _ask(self, ip, now_ms):
        _, asked_ms = self._asked.get(ip, (0, float("-inf")))
        if now_ms - asked_ms < ASK_INTERVAL_MS:
            return
        nonce = new_nonce()
        self._asked[ip] = (nonce, now_ms)
        self._last_asked_ms = now_ms
        self._send(ip, self.question(nonce))

    def on_silence(self, ip):
        """Forget a gateway that is no longer active."""
        self._asked.pop(ip, None)
        self._learnt_versions.pop(ip, None)
        self._told_versions.pop(ip, None)

    def on_ask(self, ip, notice):
        """Answer the question of another gateway, unless too many ask at once."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_answered_ms < self._interval_ms / ANSWERS_PER_INTERVAL:
            return
        self._last_answered_ms = now_ms
        self._send(ip, self.answer(notice.nonce))

    def on_told(self, ip, notice):
        """Apply a notice that answers a question of this gateway."""
        nonce, asked_ms = self._asked.get(ip, (0, 0.0))
        if not nonce or notice.echo != nonce:
            self.unasked_count += 1
            log.warn(
                "unasked notice ignored",
                extra={"peer": ip, "kind": type(notice).__name__},
            )
            return
        self._asked[ip] = (0, asked_ms)
        self._learnt_versions[ip] = notice.version
        self.learn(ip, notice)
