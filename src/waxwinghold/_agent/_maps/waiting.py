"""Waits for an event with a time limit."""

import asyncio


async def wait_event(event, clock, timeout_ms):
    """Wait until ``event`` is set, for ``timeout_ms`` on ``clock`` at most."""
    waits = [
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(clock.sleep_ms(timeout_ms)),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
