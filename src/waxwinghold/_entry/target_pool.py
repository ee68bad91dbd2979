"""The targets that an entry keeps links to."""

import collections
import hashlib

from .._sheet.index import index_sheet
from .tracked_target import TrackedTarget

REACH_LIMIT_MS = 1000


class TargetPool:
    """Keeps a link to each target that this entry may use.

    Within the settings' limit each version gets its links in turn, those of
    the own data centre first; rendezvous hashing spreads entries over them.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process
        self.index = None
        self.targets = {}

    def apply(self, sheet):
        """Follow a new sheet: open links to new targets, retire the others."""
        self.index = index_sheet(sheet)
        wanted = {row.name: row for row in self._wanted_rows(sheet)}
        for name in list(self.targets):
            if not _same_place(self.targets[name].row, wanted.get(name)):
                self._retire(self.targets.pop(name))
        for name, row in wanted.items():
            if name in self.targets:
                self.targets[name].update_row(row)
            else:
                self.targets[name] = TrackedTarget(process=self._process, row=row)

    async def reach(self, name):
        """Return the seat of a target that a key or token names, or ``None``.

        Another entry may keep a link to it while this one does not: then one
        is opened for now, until the next sheet.
        """
        target = self.targets.get(name)
        if target is None:
            row = self.index.targets.get(name)
            if row is None:
                return None
            target = self.targets[name] = TrackedTarget(process=self._process, row=row)
            await target.link.wait_until_up(limit_ms=REACH_LIMIT_MS)
        return target

    def targets_of(self, *, service, version):
        """Return the seats of a version's targets, by name."""
        return {
            name: target
            for name, target in self.targets.items()
            if (target.row.service, target.row.version) == (service, version)
        }

    def record_hosts(self, states):
        """Take in the platform's list: the states of agents by name."""
        for name, target in self.targets.items():
            target.listed_leaving = states.get(name) == "leaving"

    def send_heartbeats(self):
        """Send a heartbeat on every link at once."""
        for target in self.targets.values():
            target.link.send_heartbeat()

    def _retire(self, target):
        limit_ms = self._process.settings.drain_limit_ms
        self._process.spawn(target.retire(limit_ms=limit_ms))

    def _wanted_rows(self, sheet):
        """Return the targets to keep links to, at most the settings' limit.

        Each version gets its first target before any gets its second, so that
        a small service is not left out.
        """
        own = self._process.settings.data_centre
        ranked = sorted(sheet.targets, key=self._weight, reverse=True)
        ranked.sort(key=lambda row: row.data_centre != own)
        counts = collections.Counter()
        placed = []
        for row in ranked:
            placed.append((counts[row.service, row.version], row))
            counts[row.service, row.version] += 1
        placed.sort(key=lambda item: item[0])
        limit_count = self._process.settings.targets_limit_count
        return [row for _, row in placed[:limit_count]]

    def _weight(self, row):
        text = f"{self._process.settings.name} {row.name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()


def _same_place(old, new):
    if new is None:
        return False
    return (old.agent_address, old.agent_public_key, old.service) == (
        new.agent_address,
        new.agent_public_key,
        new.service,
    )
