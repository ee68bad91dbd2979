"""Stand-in for a model engine: batched generation over HTTP, with injectable faults."""

import fire
import msgspec
from aiohttp import web
from fire.decorators import SetParseFns

from ._engine_control import ControlRoutes
from ._faults import bad_request, json_answer, read_json
from ._generation import Generation
from ._http import HttpStandIn, abort, run_until_ended
from ._loading import WeightLoader
from ._orders import OrderHandler
from ._rank import Rank
from ._steps import StepRunner
from ._tokens import prefix_digest, token_text, whole_text

__all__ = ["Engine", "prefix_digest", "token_text", "whole_text"]

LAG_DEFAULTS = {
    "load_lag_ms": 200.0,
    "events_lag_ms": 200.0,
    "events_gap_every_count": 20,
}
# Type and default of each key of ``POST /generate``; a key with ``None`` is required.
_GENERATE_FIELDS = {
    "request_id": (str, None),
    "prompt": (str, None),
    "max_tokens": (int, None),
    "priority": (int, 1),
    "adapter": (str, ""),
    "given": (list, ()),
}


class Engine(ControlRoutes, HttpStandIn):
    """A model engine with one rank.

    Args:
        checks_orders: Whether orders with an outdated fencing number are rejected.
        loading: Options of ``WeightLoader``, as a dict.
        steps: ``StepRunner`` that is shared with other ranks; by default the engine
            creates and runs its own.
        clock: Clock of the engine and its parts; by default the system's.
        exits_on_crash: Whether a crash ends the whole process.
        rank_options: Options of ``Rank``.

    Attributes:
        rank: The ``Rank`` that holds the engine's state.
        runs: How often each request id was started.
        order_handler: The ``OrderHandler`` of ``POST /orders``.
    """

    def __init__(
        self,
        *,
        checks_orders=True,
        loading=None,
        steps=None,
        clock=None,
        exits_on_crash=False,
        **rank_options,
    ):
        super().__init__(clock=clock, exits_on_crash=exits_on_crash)
        self.rank = Rank(clock=self.clock, **rank_options)
        self.runs = {}
        self._owns_steps = steps is None
        self.steps = steps or StepRunner(ranks=[self.rank], clock=self.clock)
        self.order_handler = OrderHandler(
            rank=self.rank,
            loader=WeightLoader(clock=self.clock, **loading or {}),
            wake=self.steps.wake,
            checks_orders=checks_orders,
        )

    async def crash(self):
        """Crash the engine; its lock-step group stalls until the rank is replaced."""
        if not self._exits_on_crash:
            self.steps.remove(self.rank)
        await super().crash()

    async def start(self, **address):
        await super().start(**address)
        if self._owns_steps:
            self.steps.start()

    async def stop(self):
        if self._owns_steps:
            await self.steps.stop()
        await self.order_handler.stop()
        await super().stop()

    def current_faults(self):
        return self.rank.faults

    def routes(self):
        return [
            web.post("/generate", self._generate),
            web.get("/requests/{request_id}/stream", self._resume),
            web.get("/requests/{request_id}", self._state),
            web.delete("/requests/{request_id}", self._cancel),
            *self.control_routes(),
        ]

    async def _generate(self, request):
        rejection = self.rejection()
        if rejection is not None:
            return rejection
        generation = _parse_generation(await read_json(request))
        if generation.adapter and generation.adapter not in self.rank.adapters:
            raise bad_request(f'adapter "{generation.adapter}" is not loaded')
        marker = self.rank.faults.crash_marker
        if marker and marker in generation.prompt:
            await self.crash()
            raise ConnectionResetError("crashed")
        request_id = generation.request_id
        previous = self.rank.generations.get(request_id)
        if previous is not None and not previous.is_over:
            reason = f'request "{request_id}" is {previous.state}'
            return json_answer({"reason": reason}, status=409)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.rank.add(generation)
        self.steps.wake()
        return await self._stream(request, generation, generation.given_count)

    async def _resume(self, request):
        generation = self._find_generation(request)
        try:
            offset = int(request.query.get("offset", 0))
        except ValueError as error:
            raise bad_request('query "offset": expected a whole number') from error
        return await self._stream(request, generation, max(offset, 0))

    async def _state(self, request):
        generation = self._find_generation(request)
        length = len(generation.tokens)
        return json_answer({"state": generation.state, "length": length})

    async def _cancel(self, request):
        self.rank.cancel(self._find_generation(request))
        self.steps.wake()
        return web.Response(status=204)

    def _find_generation(self, request):
        """Return the ``Generation`` that the request's path names.

        Raises:
            web.HTTPNotFound: There is none with this id.
        """
        request_id = request.match_info["request_id"]
        generation = self.rank.generations.get(request_id)
        if generation is None:
            answer = {"reason": f'request "{request_id}" is unknown'}
            raise web.HTTPNotFound(
                text=msgspec.json.encode(answer).decode(),
                content_type="application/json",
            )
        return generation

    async def _stream(self, request, generation, offset):
        """Stream the answer as server-sent events.

        The connection is aborted if the generation is cancelled, or by the fault
        ``drop_after_count``.

        Args:
            generation: The ``Generation`` to stream.
            offset: Index of the first token to send.
        """
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        first_offset = offset
        while True:
            await generation.wait_for_more_than(offset)
            await self.block_while_silenced(request)
            tokens = generation.tokens[offset:]
            limit = self.rank.faults.drop_after_count
            if limit is not None:
                tokens = tokens[: max(limit - (offset - first_offset), 0)]
            if tokens:
                await response.write(_encode_events(tokens, offset))
                offset += len(tokens)
            if limit is not None and offset - first_offset >= limit:
                abort(request)
                return response
            if generation.is_over and offset >= len(generation.tokens):
                break
        if generation.is_complete:
            length = len(generation.tokens)
            await response.write(b'event: end\ndata: {"length": %d}\n\n' % length)
        else:
            abort(request)
        return response


def _encode_events(tokens, first_offset):
    """Return tokens as server-sent events whose ids are the tokens' offsets."""
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (offset, msgspec.json.encode(token))
        for offset, token in enumerate(tokens, first_offset)
    )


def _parse_generation(document):
    """Return the ``Generation`` that the body of a request describes.

    Raises:
        web.HTTPBadRequest: A key is missing or has the wrong type.
    """
    values = {}
    for name, (kind, default) in _GENERATE_FIELDS.items():
        value = document.get(name, default)
        # ``bool`` is a subclass of ``int``, but no key takes one.
        is_invalid = value is None or isinstance(value, bool)
        if is_invalid or not isinstance(value, (kind, type(default))):
            raise bad_request(f'key "{name}": expected {kind.__name__}')
        values[name] = value
    if not all(isinstance(token, str) for token in values["given"]):
        raise bad_request('key "given": expected a list of texts')
    return Generation(**values)


@SetParseFns(address=str, model_version=str, adapters=str)
def serve(*, address, model_version="v1", adapters="", **options):
    """Serve a model engine until SIGTERM.

    Args:
        address: ``IP:PORT`` to serve on.
        model_version: The model version at the start.
        adapters: Adapters loaded at the start, separated by commas.
        options: Options of ``Engine`` and ``Rank``, such as ``--step_ms 20`` or
            ``--loading '{"load_expert_ms": 5}'``.
            By default load reports and cache events are delayed, and some cache
            events are lost.
    """
    engine = Engine(
        version=model_version,
        adapters=[name for name in adapters.split(",") if name],
        exits_on_crash=True,
        **LAG_DEFAULTS | options,
    )
    run_until_ended(engine, address)


if __name__ == "__main__":
    fire.Fire(serve)
