"""One expert map a step: the agents of a group change maps together."""

from .engine import DeskEngine, EngineOrders
from .errors import MapBusyError, TermLostError
from .keeper import GroupKeeper
from .timing import MapTiming

__all__ = [
    "DeskEngine",
    "EngineOrders",
    "GroupKeeper",
    "MapBusyError",
    "MapTiming",
    "TermLostError",
]
