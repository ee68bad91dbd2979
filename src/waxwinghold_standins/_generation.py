"""One answer that an engine generates, and the queue of those that wait."""

import asyncio
import enum
import heapq
import itertools

from ._tokens import token_text


class GenerationState(enum.StrEnum):
    """How far a generation has come."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"
    CANCELLED = "cancelled"


class Generation:
    """One request to generate, and its answer so far.

    Args:
        request_id: Names the request.
        prompt: The text to answer.
        max_tokens: Length of the whole answer, ``given`` included.
        priority: 0 is the most urgent.
        adapter: The adapter to use, or an empty text.
        given: Tokens that the caller has; the answer goes on behind them.
    """

    def __init__(
        self, *, request_id, prompt, max_tokens, priority=1, adapter="", given=()
    ):
        self.request_id = request_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.adapter = adapter
        self.given_count = len(given)
        self.tokens = list(given)
        self.state = GenerationState.WAITING
        self.version = None
        self.prefill_left_ms = 0.0
        self.ended_ms = None
        self._changed = asyncio.Event()

    @property
    def is_over(self):
        """Whether no further token comes."""
        return self.state in (GenerationState.ENDED, GenerationState.CANCELLED)

    @property
    def is_complete(self):
        """Whether the whole answer is there."""
        return len(self.tokens) >= self.max_tokens

    def begin(self, *, version, prefill_ms):
        """Take a slot; the answer is of ``version`` from here on."""
        self.state = GenerationState.RUNNING
        self.version = version
        self.prefill_left_ms = prefill_ms

    def advance(self, duration_ms):
        """Take part in one step: prefill first, then one token a step."""
        if self.prefill_left_ms > 0:
            self.prefill_left_ms -= duration_ms
            return
        self.tokens.append(token_text(self.prompt, self.version, len(self.tokens)))
        self._wake_readers()

    def finish(self, state, now_ms):
        """Enter a final ``state``."""
        self.state = state
        self.ended_ms = now_ms
        self._wake_readers()

    async def wait_for_more_than(self, count):
        """Wait until there are more than ``count`` tokens, or no more come."""
        while len(self.tokens) <= count and not self.is_over:
            await self._changed.wait()

    def _wake_readers(self):
        self._changed.set()
        self._changed = asyncio.Event()


class WaitingQueue:
    """Generations that wait for a slot: by priority, then by arrival."""

    def __init__(self):
        self._heap = []
        self._arrivals = itertools.count()

    def __len__(self):
        return sum(1 for entry in self._heap if not entry[2].is_over)

    def add(self, generation):
        """Let ``generation`` wait."""
        entry = (generation.priority, next(self._arrivals), generation)
        heapq.heappush(self._heap, entry)

    def pop(self):
        """Return the next generation, or ``None``; cancelled ones are dropped."""
        while self._heap:
            generation = heapq.heappop(self._heap)[2]
            if not generation.is_over:
                return generation
        return None
