"""Command that starts a process: ``python3 -m waxwinghold.platform ROLE``."""

import asyncio
import os
import signal
import sys
import time

from .._clock import Clock
from .._errors import WaxwingError
from .._logs import log_handler
from .._settings import load_settings, split_ip_port

SETTINGS_VARIABLE = "WAXWINGHOLD_NODE_FILE"
STOP_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


def boot_clock():
    """Return a clock that also advances while the host is suspended."""
    return Clock(read_ns=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME))


def run_gateway(path):
    """Run a gateway, which serves callers.

    Args:
        path: The settings file.
    """
    from .._gateway.gateway import Gateway
    from .._gateway.settings import FIXED_SETTINGS, GatewaySettings
    from .._reload import SettingsFile
    from .codec import PlatformCodec
    from .store import StoreWatcher

    settings_file = SettingsFile(path=path, kind=GatewaySettings, fixed=FIXED_SETTINGS)
    settings = settings_file.settings
    clock = boot_clock()

    def make_source(published, readers):
        return StoreWatcher(
            clock=clock,
            published=published,
            readers=readers,
            address=split_ip_port(settings.store_address),
        )

    async def main():
        await Gateway(
            clock=clock,
            settings=settings,
            codec=PlatformCodec(),
            make_source=make_source,
            settings_file=settings_file,
        ).run()

    with log_handler(settings.log_level, process=settings.name).applicationbound():
        asyncio.run(_run(main()))


def run_agent(path):
    """Run the agent of a rank.

    Args:
        path: The settings file.
    """
    from .._ranks.agent import RankAgent
    from .._ranks.settings import RankSettings
    from .directory import Directory
    from .worker import WorkerPort

    settings = load_settings(path, RankSettings)
    low_token_callbacks = []  # Filled later: the agent needs its port first.

    def make_port(address):
        return WorkerPort(
            address=split_ip_port(address),
            on_low_token=lambda: [raise_token() for raise_token in low_token_callbacks],
        )

    port = make_port(settings.target_address)
    directory = Directory(
        address=split_ip_port(settings.store_address), service=settings.service
    )

    async def main():
        agent = RankAgent(
            clock=boot_clock(),
            settings=settings,
            port=port,
            make_port=make_port,
            directory=directory,
        )
        low_token_callbacks.append(agent.leader.raise_token)
        await agent.run()

    with log_handler(settings.log_level, process=settings.name).applicationbound():
        asyncio.run(_run(main()))


async def _run(coroutine):
    """Await a process's work, and then ignore signals until its exit."""
    try:
        await coroutine
    finally:
        # The handlers end with the event loop, but the interpreter takes some time to
        # end; a signal meanwhile would end the process with its own status. Without a
        # handler the default holds for a moment, so that signals have to wait.
        loop = asyncio.get_running_loop()
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)


ROLES = {"gateway": run_gateway, "agent": run_agent}


def main():
    """Run the role named by the first command line argument."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in ROLES:
        names = ", ".join(ROLES)
        print(f'role "{role}" does not exist; known: {names}', file=sys.stderr)
        sys.exit(2)
    try:
        ROLES[role](os.environ[SETTINGS_VARIABLE])
    except WaxwingError as error:
        print(f"waxwinghold: {error}", file=sys.stderr)
        sys.exit(error.exit_status)


if __name__ == "__main__":
    main()
