"""Waiting for something that may not come."""

import asyncio


async def wait_event(event, clock, timeout_ms):
    """Wait until ``event`` is set, or for ``timeout_ms`` of ``clock``'s time."""
    waits = [
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(clock.sleep_ms(timeout_ms)),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
