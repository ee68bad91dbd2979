"""The targets that an entry keeps links to."""

import collections
import hashlib

from .._sheet.index import index_sheet
from .tracked_target import TrackedTarget

REACH_LIMIT_MS = 1000


class TargetPool:
    """Links to the targets that this entry may use.

    The number of links is limited by ``targets_limit_count``. Within that limit
    the versions of services get links in turn, and targets in the entry's own
    data centre come first. Rendezvous hashing distributes entries over targets.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process
        self.index = None
        self.targets = {}

    def apply(self, sheet):
        """Apply a new sheet: open links to new targets and retire removed ones."""
        self.index = index_sheet(sheet)
        wanted = {row.name: row for row in self._wanted_rows(sheet)}
        for name in list(self.targets):
            if not _same_endpoint(self.targets[name].row, wanted.get(name)):
                self._retire(self.targets.pop(name))
        for name, row in wanted.items():
            if name in self.targets:
                self.targets[name].update_row(row)
            else:
                self.targets[name] = TrackedTarget(process=self._process, row=row)

    async def reach(self, name):
        """Return the ``TrackedTarget`` that a key or token names, or ``None``.

        Another entry may have issued the key or token, so that this entry may
        have no link to the target. It then opens one, which is kept until the
        next sheet.
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
        """Return the tracked targets of a service's version, by name."""
        return {
            name: target
            for name, target in self.targets.items()
            if (target.row.service, target.row.version) == (service, version)
        }

    def record_hosts(self, states):
        """Record which targets are leaving according to the platform's host list.

        Args:
            states: State of each host, by name.
        """
        for name, target in self.targets.items():
            target.listed_leaving = states.get(name) == "leaving"

    def send_heartbeats(self):
        """Send a heartbeat on every link now."""
        for target in self.targets.values():
            target.link.send_heartbeat()

    def _retire(self, target):
        limit_ms = self._process.settings.drain_limit_ms
        self._process.spawn(target.retire(limit_ms=limit_ms))

    def _wanted_rows(self, sheet):
        """Return the sheet rows of the targets to link to, within the limit.

        Every version gets its first target before any version gets its second,
        so that a service with few targets is not left out.
        """
        own_data_centre = self._process.settings.data_centre
        ranked = sorted(sheet.targets, key=self._weight, reverse=True)
        ranked.sort(key=lambda row: row.data_centre != own_data_centre)
        counts = collections.Counter()
        numbered = []
        for row in ranked:
            numbered.append((counts[row.service, row.version], row))
            counts[row.service, row.version] += 1
        numbered.sort(key=lambda item: item[0])
        limit_count = self._process.settings.targets_limit_count
        return [row for _, row in numbered[:limit_count]]

    def _weight(self, row):
        text = f"{self._process.settings.name} {row.name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()


def _same_endpoint(old, new):
    if new is None:
        return False
    return (old.agent_address, old.agent_public_key, old.service) == (
        new.agent_address,
        new.agent_public_key,
        new.service,
    )
