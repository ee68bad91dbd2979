"""Faults that a control request sets on a running stand-in, and JSON helpers."""

import dataclasses
from dataclasses import dataclass

import msgspec
from aiohttp import web

from waxwinghold._convert import ConversionError, convert


@dataclass(frozen=True, kw_only=True)
class TargetFaults:
    """Faults of an engine or a plain service.

    Args:
        unhealthy: Health checks report the target as unhealthy.
        refuse: New requests are rejected with 503 and do not run.
        fails: A service answers each call with 500, without running it.
        stalled: No step or call makes progress.
        crash_marker: A request whose prompt or body contains this text crashes the
            target.
        drop_after_count: Streams are aborted after this many tokens. A service that
            has this set to any value aborts the connection of each call after its
            effect, instead of answering.
        step_ms: Replaces the step duration of an engine, or the call duration of a
            service.
        load_lag_ms: Replaces the lag of an engine's load reports.
        leaving: Every answer announces that the target leaves.
        pause_ms: New requests are rejected with 503 and do not run; the answer asks
            for a pause of so many milliseconds.
        limit_per_second: Every answer names this limit on requests.
        expert_seed: Replaces the seed that determines an engine's popular experts.
    """

    unhealthy: bool = False
    refuse: bool = False
    fails: bool = False
    stalled: bool = False
    crash_marker: str | None = None
    drop_after_count: int | None = None
    step_ms: float | None = None
    load_lag_ms: float | None = None
    expert_seed: int | None = None
    leaving: bool = False
    pause_ms: float | None = None
    limit_per_second: float | None = None


def changed_faults(faults, changes):
    """Return a copy of ``faults`` with some fields replaced.

    Args:
        faults: A dataclass instance such as ``TargetFaults``.
        changes: New values by field name.

    Raises:
        web.HTTPBadRequest: A field is unknown or has the wrong type.
    """
    document = dataclasses.asdict(faults) | changes
    try:
        return convert(document, type(faults))
    except ConversionError as error:
        raise bad_request(str(error)) from error


async def read_json(request):
    """Return the request's body, a JSON object, as a dict.

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
    """Return a 400 exception with ``reason``, for the caller to raise."""
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
