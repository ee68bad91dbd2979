"""Messages between the agents of a group, which keep it on one expert map."""

from functools import total_ordering

from ._base import Message


@total_ordering
class Term(Message):
    """The right to lead; the leader's name keeps two equal numbers apart."""

    number: int = 0
    leader: str = ""

    def __lt__(self, other):
        return (self.number, self.leader) < (other.number, other.leader)

    def __str__(self):
        return f"{self.number}/{self.leader}"
