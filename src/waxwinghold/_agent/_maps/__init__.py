"""The protocol by which the agents of a group use one expert map in each step."""

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
