"""Faults that a control call sets on a running stand-in."""

import dataclasses
from dataclasses import dataclass

import msgspec
from aiohttp import web

from waxwinghold._convert import ConversionError, convert


@dataclass(frozen=True, kw_only=True)
class TargetFaults:
    """Faults of an engine or a plain service.

    Args:
        unhealthy: Health checks answer that the target is not healthy.
        refuse: New work gets 503 and does not run.
        stalled: No step or call makes progress.
        crash_marker: Work whose prompt or body holds this text ends the process.
        drop_after_count: Streams break after this many tokens; for a service,
            each answer is lost after its effect when this is set.
        step_ms: Replaces the step time of an engine, or the call time of a
            service.
        load_lag_ms: Replaces the lag of an engine's load reports.
        expert_seed: Replaces the seed of an engine's popular experts.
    """

    unhealthy: bool = False
    refuse: bool = False
    stalled: bool = False
    crash_marker: str | None = None
    drop_after_count: int | None = None
    step_ms: float | None = None
    load_lag_ms: float | None = None
    expert_seed: int | None = None


def changed_faults(faults, changes):
    """Return ``faults`` with the fields of ``changes``, a dict, replaced.

    Raises:
        web.HTTPBadRequest: A field is unknown or of a wrong type.
    """
    document = dataclasses.asdict(faults) | changes
    try:
        return convert(document, type(faults))
    except ConversionError as error:
        raise bad_request(str(error)) from error


async def read_json(request):
    """Return the request's body, a JSON object.

    Raises:
        web.HTTPBadRequest: The body is not a JSON object.
    """
    try:
        document = msgspec.json.decode(await request.read())
    except msgspec.DecodeError as error:
        raise bad_request(f"body: {error}") from error
    if not isinstance(document, dict):
        raise bad_request("body: expected an object")
    return document


def bad_request(reason):
    """Return a 400 with ``reason``, to be raised."""
    return web.HTTPBadRequest(
        text=msgspec.json.encode({"reason": reason}).decode(),
        content_type="application/json",
    )


def json_answer(document, *, status=200):
    """Return ``document`` as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/json",
    )
