"""One expert map a step: the agents of a group change maps together."""

from .coordinator import MapCoordinator
from .engine import EngineOrders, HttpEngineOrders
from .errors import MapBusyError, TermLostError
from .timing import MapTiming

__all__ = [
    "EngineOrders",
    "HttpEngineOrders",
    "MapBusyError",
    "MapCoordinator",
    "MapTiming",
    "TermLostError",
]
