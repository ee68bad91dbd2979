"""``make try``: runs the Guild example on loopback for manual experiments."""

import asyncio
import signal

from .examples import GUILD
from .fleet import Fleet

RUN_LIMIT_S = 600


async def _run():
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop_requested.set)
    fleet = Fleet(sheet=GUILD.sheet())
    async with fleet.running():
        settings = fleet.write_operator_settings()
        for entry in fleet.entries.values():
            print(f"ENTRY={entry.http_url}")
        print(f"CUSTOMER={GUILD.customer} TOKEN={GUILD.token}")
        print(f"waxwing status --settings {settings}")
        print(f"Stops after {RUN_LIMIT_S} s or with Ctrl-C.", flush=True)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await stop_requested.wait()
        except TimeoutError:
            pass


def main():
    """Run the example until a signal arrives or the time limit is reached."""
    asyncio.run(_run())


if __name__ == "__main__":
    main()
