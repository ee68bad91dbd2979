"""An answer that an engine generates, and the queue of answers that wait for a slot."""

import asyncio
import enum
import heapq
import itertools

from ._tokens import token_text


class GenerationState(enum.StrEnum):
    """State of a generation; the values are part of the HTTP interface."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"
    CANCELLED = "cancelled"


class Generation:
    """One request to generate, and its answer so far.

    Args:
        request_id: Id of the request.
        prompt: The text to answer.
        max_tokens: Number of tokens of the complete answer, including ``given``.
        priority: Priority in the queue; 0 is the most urgent.
        adapter: Name of the adapter to use, or an empty string.
        given: Tokens that the caller already has; generation continues after them.

    Attributes:
        tokens: The tokens so far, including the given ones.
        given_count: Number of tokens that the caller already had.
        state: The ``GenerationState``.
        version: Model version that generates the answer; ``None`` until it starts.
        prefill_left_ms: Prefill time that is left before the first token.
        ended_ms: When a final state was entered, or ``None``.
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
        """Whether no further token will be generated."""
        return self.state in (GenerationState.ENDED, GenerationState.CANCELLED)

    @property
    def is_complete(self):
        """Whether the answer has all its tokens."""
        return len(self.tokens) >= self.max_tokens

    def begin(self, *, version, prefill_ms):
        """Start to run in a slot.

        Args:
            version: Model version that generates the answer.
            prefill_ms: Duration of the prefill.
        """
        self.state = GenerationState.RUNNING
        self.version = version
        self.prefill_left_ms = prefill_ms

    def advance(self, duration_ms):
        """Apply one step: count down the prefill, or append a token once it is over.

        Args:
            duration_ms: Duration of the step.
        """
        if self.prefill_left_ms > 0:
            self.prefill_left_ms -= duration_ms
            return
        self.tokens.append(token_text(self.prompt, self.version, len(self.tokens)))
        self._wake_readers()

    def finish(self, state, now_ms):
        """Enter a final state.

        Args:
            state: ``ENDED`` or ``CANCELLED``.
            now_ms: The current time.
        """
        self.state = state
        self.ended_ms = now_ms
        self._wake_readers()

    async def wait_for_more_than(self, count):
        """Wait until there are more than ``count`` tokens, or the answer is over."""
        while len(self.tokens) <= count and not self.is_over:
            await self._changed.wait()

    def _wake_readers(self):
        self._changed.set()
        self._changed = asyncio.Event()


class WaitingQueue:
    """Generations that wait for a slot, ordered by priority, then by arrival."""

    def __init__(self):
        self._heap = []
        self._arrivals = itertools.count()

    def __len__(self):
        return sum(1 for entry in self._heap if not entry[2].is_over)

    def add(self, generation):
        """Add a generation."""
        entry = (generation.priority, next(self._arrivals), generation)
        heapq.heappush(self._heap, entry)

    def pop(self):
        """Remove and return the next generation that is not over, or ``None``."""
        while self._heap:
            generation = heapq.heappop(self._heap)[2]
            if not generation.is_over:
                return generation
        return None
