"""Messages between the operator tool and a process."""

from ._base import Message


class StatusQuery(Message):
    """Asks a process for its status."""

    query_id: str


class StatusReply(Message):
    """A process's status as JSON, in the shape of ``docs/OPERATIONS.md``."""

    query_id: str
    document: bytes


class AuditQuery(Message):
    """Asks for the audit trail from ``since_ms`` (wall clock) on."""

    query_id: str
    since_ms: int


class AuditReply(Message):
    """Audit entries as JSON, oldest first."""

    query_id: str
    document: bytes


class DrainOrder(Message):
    """Orders a process to take no new work, finish what runs, and end."""

    query_id: str
    operator: str
    reason: str


class OrderReply(Message):
    """Says whether an order was taken."""

    query_id: str
    accepted: bool
    reason: str
