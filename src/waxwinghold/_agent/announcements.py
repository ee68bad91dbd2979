"""What an agent's target announces in the heads of its answers.

``docs/design/engine-protocol.md`` describes the headers.
"""

import math

import aiohttp
import logbook

from .._decisions.crash_suspects import shows_run
from .._decisions.request_limits import PermitIssuer, RequestLimits, read_limit
from .._decisions.target_signals import TargetSignals
from .._errors import DrainingError, TargetLimitedError, TargetPausedError

log = logbook.Logger("agent")

LEAVING_HEADER = "Waxwing-Leaving"
PAUSE_HEADER = "Waxwing-Pause-Ms"
LIMIT_HEADER = "Waxwing-Limit"
INCARNATION_HEADER = "Waxwing-Incarnation"
INCARNATION_LIMIT_LENGTH = 64
UNAVAILABLE = 503


class Announcements:
    """Records what the target asks for, and decides whether it may get requests.

    Args:
        metrics: The process's ``Metrics``.
        on_change: Called when the target begins to leave or to pause.

    Attributes:
        incarnation: What the target's last answer named as its incarnation; empty if
            it names none.
    """

    def __init__(self, *, clock, metrics, on_change):
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._signals = TargetSignals()
        self._limits = RequestLimits()
        self._permit_issuer = PermitIssuer()
        self.incarnation = ""

    @property
    def is_leaving(self):
        """Whether the target has announced that it leaves."""
        return self._signals.is_leaving(self.incarnation, now_ms=self._clock.now_ms())

    @property
    def pause_left_ms(self):
        """The rest of the pause that the target asked for in ms; 0 for none."""
        return self._signals.pause_left_ms(
            self.incarnation, now_ms=self._clock.now_ms()
        )

    @property
    def limit_per_second(self):
        """The requests per second that the target takes; ``None`` for no limit."""
        return self._limits.per_second(self.incarnation, now_ms=self._clock.now_ms())

    def take_permit(self):
        """Use up one of the requests that the target's limit allows.

        Raises:
            TargetLimitedError: The limit allows none now.
        """
        per_second = self.limit_per_second
        if per_second is None:
            return
        wait_ms = self._permit_issuer.issue(
            self.incarnation, per_second=per_second, now_ms=self._clock.now_ms()
        )
        if wait_ms:
            raise TargetLimitedError(retry_after_ms=math.ceil(wait_ms))

    def check(self):
        """Check that the target may get a request now.

        Raises:
            DrainingError: The target leaves.
            TargetPausedError: The target has asked for a pause.
        """
        if self.is_leaving:
            raise DrainingError("the target is leaving")
        pause_ms = self.pause_left_ms
        if pause_ms:
            raise TargetPausedError(retry_after_ms=math.ceil(pause_ms))

    def record(self, status, headers):
        """Record the signals in the head of one answer."""
        now_ms = self._clock.now_ms()
        self.incarnation = headers.get(INCARNATION_HEADER, "")[
            :INCARNATION_LIMIT_LENGTH
        ]
        details = {"incarnation": self.incarnation}
        is_changed = False
        leaving_text = headers.get(LEAVING_HEADER, "").strip()
        if leaving_text not in ("", "0", "1"):
            self._record_malformed(LEAVING_HEADER, leaving_text)
        if leaving_text == "1":
            is_changed = self._signals.record_leaving(self.incarnation, now_ms=now_ms)
            if is_changed:
                self._metrics.count("leaving_targets")
                log.info("target announced that it leaves", extra=details)
        pause_ms = requested_pause_ms(status, headers)
        if pause_ms is not None:
            is_changed |= not self.pause_left_ms
            self._signals.record_pause(
                self.incarnation, pause_ms=pause_ms, now_ms=now_ms
            )
            self._metrics.count("paused_targets")
            details["pause_ms"] = round(pause_ms)
            log.info("target asked for a pause", extra=details)
        elif status == UNAVAILABLE and PAUSE_HEADER in headers:
            self._record_malformed(PAUSE_HEADER, headers[PAUSE_HEADER])
        self._record_limit(status, headers)
        if is_changed:
            self._on_change()

    def _record_limit(self, status, headers):
        text = headers.get(LIMIT_HEADER)
        if text is None and not shows_run(status):
            return
        try:
            per_second = None if text is None else read_limit(text)
        except ValueError:
            self._record_malformed(LIMIT_HEADER, text)
            return
        is_changed = self._limits.record(
            self.incarnation, per_second=per_second, now_ms=self._clock.now_ms()
        )
        if is_changed:
            details = {"incarnation": self.incarnation, "per_second": per_second}
            log.info("target changed its limit", extra=details)

    def _record_malformed(self, name, value):
        self._metrics.count("malformed_signals")
        details = {"header": name, "value": value[:40]}
        log.warn("malformed header of the target", extra=details)

    def trace_config(self):
        """Return the ``aiohttp.TraceConfig`` that records every answer of a session."""
        config = aiohttp.TraceConfig()
        config.on_request_end.append(self._on_request_end)
        return config

    async def _on_request_end(self, session, context, params):
        self.record(params.response.status, params.response.headers)


def requested_pause_ms(status, headers):
    """Return the pause that a target asks for as it rejects a request, in ms.

    Returns:
        ``None`` if the answer is no rejection of that kind, or its pause is not valid;
        such an answer does not promise that the request has not run.
    """
    text = headers.get(PAUSE_HEADER)
    if status != UNAVAILABLE or text is None:
        return None
    try:
        pause_ms = float(text)
    except ValueError:
        return None
    return pause_ms if 0 <= pause_ms < math.inf else None
