"""The targets that an entry keeps links to."""

import hashlib

from .._sheet.index import index_sheet
from .seat import TargetSeat


class Fleet:
    """Keeps a link to each target that this entry may use.

    Targets of the own data centre come first; of the others a number is
    chosen by rendezvous hashing, so that entries spread over them.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process
        self.index = None
        self.seats = {}

    def apply(self, sheet):
        """Follow a new sheet: open links to new targets, retire the others."""
        self.index = index_sheet(sheet)
        wanted = {row.name: row for row in self._wanted_rows(sheet)}
        for name in list(self.seats):
            if not _same_place(self.seats[name].row, wanted.get(name)):
                self._retire(self.seats.pop(name))
        for name, row in wanted.items():
            if name in self.seats:
                self.seats[name].follow_row(row)
            else:
                self.seats[name] = TargetSeat(process=self._process, row=row)

    def seats_of(self, *, service, version):
        """Return the seats of a version's targets, by name."""
        return {
            name: seat
            for name, seat in self.seats.items()
            if (seat.row.service, seat.row.version) == (service, version)
        }

    def note_hosts(self, states):
        """Take in the platform's list: the states of agents by name."""
        for name, seat in self.seats.items():
            seat.listed_leaving = states.get(name) == "leaving"

    def beat(self):
        """Send a heartbeat on every link at once."""
        for seat in self.seats.values():
            seat.link.beat()

    def _retire(self, seat):
        limit_ms = self._process.settings.drain_limit_ms
        self._process.spawn(seat.retire(limit_ms=limit_ms))

    def _wanted_rows(self, sheet):
        own = self._process.settings.data_centre
        limit_count = self._process.settings.targets_limit_count
        near = [row for row in sheet.targets if row.data_centre == own]
        far = [row for row in sheet.targets if row.data_centre != own]
        far.sort(key=self._weight, reverse=True)
        return near + far[: max(0, limit_count - len(near))]

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
