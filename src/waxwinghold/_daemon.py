"""The ``waxwingd`` command, which runs one process in one of four roles."""

import asyncio
import importlib.metadata
import signal
import sys

import fire

from ._agent.process import AgentProcess
from ._clock import Clock
from ._entry.process import EntryProcess
from ._errors import WaxwingError
from ._logs import log_handler
from ._settings import AgentSettings, EntrySettings, load_settings

ROLES_GROUP = "waxwinghold.roles"


class Daemon:
    """Runs one process of waxwinghold.

    Settings files are JSON with comments. ``docs/CONFIGURATION.md`` lists their
    keys.
    """

    def entry(self, settings):
        """Run an entry, which sends callers' HTTP requests to agents.

        Args:
            settings: Path of the settings file.
        """
        _run(EntryProcess, settings, EntrySettings)

    def agent(self, settings):
        """Run an agent, the process beside a target.

        Args:
            settings: Path of the settings file.
        """
        _run(AgentProcess, settings, AgentSettings)

    def gateway(self, settings):
        """Run a gateway, which sends callers' HTTP requests to targets.

        Args:
            settings: Path of the settings file.
        """
        _run_registered("gateway", settings)

    def rank_agent(self, settings):
        """Run a rank agent, the process beside a rank that gateways send requests to.

        Args:
            settings: Path of the settings file.
        """
        _run_registered("rank_agent", settings)


def _run_registered(role, path):
    """Run a role that is registered as an entry point in the package metadata."""
    (entry_point,) = importlib.metadata.entry_points(group=ROLES_GROUP, name=role)
    entry_point.load()(path)


def _run(process_class, path, settings_class):
    settings = load_settings(path, settings_class)
    with log_handler(settings.log_level, process=settings.name).applicationbound():
        asyncio.run(_run_process(process_class, settings))


async def _run_process(process_class, settings):
    process = process_class(clock=Clock(), settings=settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _drain, process, number)
    await process.run()


def _drain(process, number):
    process.drain(reason=signal.Signals(number).name, by="host")


def main():
    """Run the ``waxwingd`` command."""
    try:
        fire.Fire(Daemon, name="waxwingd")
    except WaxwingError as error:
        print(f"waxwingd: {error}", file=sys.stderr)
        sys.exit(error.exit_status)
