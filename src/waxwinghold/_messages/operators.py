"""Messages between the operator tool and a process."""

from ._base import Message


class StatusQuery(Message):
    """Asks a process for its status."""

    query_id: str


class StatusReply(Message):
    """A process's status as JSON, described in ``docs/OPERATIONS.md``."""

    query_id: str
    document: bytes


class AuditQuery(Message):
    """Asks for the audit entries recorded at wall time ``since_ms`` or later."""

    query_id: str
    since_ms: int


class AuditReply(Message):
    """Audit entries as JSON, oldest first."""

    query_id: str
    document: bytes


class DrainOrder(Message):
    """Orders a process to take no new requests, finish those in flight, and end."""

    query_id: str
    operator: str
    reason: str


class OrderReply(Message):
    """Answers an order with whether it was accepted and why."""

    query_id: str
    accepted: bool
    reason: str
