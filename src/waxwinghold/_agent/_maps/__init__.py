"""One expert map a step: the agents of a group change maps together."""

from .engine import EngineOrders, EngineRefusedError, EngineUnreachableError
from .errors import MapBusyError, TermLostError
from .keeper import GroupKeeper
from .timing import MapTiming

__all__ = [
    "EngineOrders",
    "EngineRefusedError",
    "EngineUnreachableError",
    "GroupKeeper",
    "MapBusyError",
    "MapTiming",
    "TermLostError",
]
