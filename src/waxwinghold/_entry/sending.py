"""Choosing a target for an attempt and sending the request to it."""

import math
import random
from dataclasses import replace

from .._decisions.target_signals import retry_after_pause_ms, shortest_pause_ms
from .._errors import (
    DeadlineError,
    KeyOwnerLostError,
    NoTargetError,
    OverloadedError,
    PausedTargetsError,
    SuspectPromptError,
    SuspectRequestError,
    TargetUnreachableError,
)
from .._links import LinkDownError
from .._messages import Submit
from .._policy import ChoiceRequest
from .outcomes import nothing_sent

# The agent ends a request earlier than the entry does, so that its verdict on
# whether the request ran arrives before the entry's deadline.
DEADLINE_MARGIN_MS = 120


class Sender:
    """Sends the attempts at one request.

    Args:
        process: The ``EntryProcess``.
        request: The admitted ``CallRequest``.
        exchange: Receives the messages of the targets.
    """

    def __init__(self, *, process, request, exchange):
        self._process = process
        self._clock = process.clock
        self._request = request
        self._exchange = exchange
        self._tried = set()
        self.sent_count = 0
        self.sent_alone = False
        self.sent_to = ""
        self.target = None

    def left_ms(self):
        """Return the time left until the request's deadline, in milliseconds."""
        return self._request.deadline_ms - self._clock.now_ms()

    async def send(self, *, given):
        """Choose a target and send the request to it.

        Args:
            given: Events of a streamed answer that the caller already has.

        Raises:
            RequestError: The request cannot be sent to any target; nothing was
                sent.
        """
        self._check_suspicion()
        target = await self._choose()
        suspect = self._process.suspects.is_suspect(self._request.digest)
        message = self._submit_message(target, given=given, suspect=suspect)
        try:
            target.link.send(message)
        except LinkDownError as error:
            raise nothing_sent(error) from error
        self.target = target
        self.sent_count += 1
        self.sent_alone = suspect
        self.sent_to = f"{target.name}/{target.link.incarnation}"
        self._tried.add(target.name)
        target.add(self._exchange)

    def has_another(self):
        """Return whether another target may get the request instead of the last one.

        An unhealthy one may only if the last one is unhealthy too.
        """
        needs_healthy = self.target.candidate.healthy
        return any(
            candidate.name not in self._tried
            and (candidate.healthy or not needs_healthy)
            for candidate in self._candidates()
        )

    def release(self):
        """Remove the request from those in flight at the last target."""
        if self.target is not None:
            self.target.remove(self._exchange)

    def _check_suspicion(self):
        suspects = self._process.suspects
        if suspects.is_condemned(self._request.digest):
            count = suspects.crashes_count(self._request.digest)
            raise SuspectRequestError(crashes_count=count)
        if self._process.blocks_prompt(self._request):
            raise SuspectPromptError()

    def _submit_message(self, target, *, given, suspect):
        request = self._request
        deadline_in_ms = self.left_ms() - DEADLINE_MARGIN_MS
        return Submit(
            request_id=request.request_id,
            attempt=self._exchange.next_attempt(),
            service=request.service.name,
            version=request.version,
            call=request.call.name,
            customer=request.customer.name,
            priority=request.priority,
            deadline_at_ms=target.link.peer_wall_ms() + deadline_in_ms,
            body=request.body,
            content_type=request.content_type,
            digest=request.digest,
            streamed=request.call.streamed,
            key=request.key_text,
            given=given,
            suspect=suspect,
            adapter=request.adapter,
        )

    async def _choose(self):
        if self.left_ms() <= DEADLINE_MARGIN_MS:
            raise DeadlineError("the deadline passed before a target was found")
        if self._request.key is not None:
            return await self._key_owner()
        request = self._request
        self._check_paused(self._serving_targets())
        candidates = self._candidates()
        chosen = self._choose_among(candidates)
        if chosen is None and request.idempotent:
            # Health reports arrive late: a target that is reported as unhealthy may
            # have recovered.
            chosen = self._choose_among(
                [replace(candidate, healthy=True) for candidate in candidates]
            )
        if chosen is None:
            raise NoTargetError(service=request.service.name, version=request.version)
        self._check_wait(chosen)
        return self._process.target_pool.targets[chosen.name]

    def _candidates(self):
        """Return the candidates of the targets that may get the request now."""
        serving = self._serving_targets()
        return [target.candidate for target in serving if target.takes_work]

    def _serving_targets(self):
        """Return the targets that serve the request, also those that pause."""
        request = self._request
        targets = self._process.target_pool.targets_of(
            service=request.service.name, version=request.version
        )
        return [
            target
            for target in targets.values()
            if target.is_serving and target.has_adapter(request.adapter)
        ]

    def _check_paused(self, targets):
        pause_ms = shortest_pause_ms(
            [target.incarnation for target in targets],
            signals=self._process.target_signals,
            now_ms=self._clock.now_ms(),
        )
        if pause_ms is None:
            return
        raise PausedTargetsError(
            service=self._request.service.name,
            version=self._request.version,
            retry_after_ms=math.ceil(retry_after_pause_ms(pause_ms, rng=random)),
        )

    def _choose_among(self, candidates):
        request = self._request
        return self._process.policy.choose(
            candidates,
            request=ChoiceRequest(
                data_centre=self._process.settings.data_centre,
                priority=request.priority,
                prefix=request.prefix,
                steps_count=request.steps_count,
                tried=frozenset(self._tried),
            ),
            now_ms=self._clock.now_ms(),
        )

    def _check_wait(self, candidate):
        wait_ms = self._process.policy.wait_ms(candidate, now_ms=self._clock.now_ms())
        if self._process.admits(
            wait_ms=wait_ms,
            deadline_in_ms=self.left_ms(),
            priority=self._request.priority,
        ):
            return
        raise OverloadedError(
            f"the expected wait of {wait_ms:.0f} ms for a target is too long "
            "for the request's deadline and priority"
        )

    async def _key_owner(self):
        """Return the target that the key names: the only one that may run the call."""
        key = self._request.key
        target = await self._process.target_pool.reach(key.target)
        if target is None or not target.link.up:
            raise TargetUnreachableError(
                f'target "{key.target}", which owns the key, cannot be reached'
            )
        if target.link.incarnation != key.incarnation:
            raise KeyOwnerLostError(target=key.target)
        return target
