"""A load balancer for expert-parallel model groups."""

from ._clock import Clock
from ._errors import WaxwingError
from ._verdict import Ran, Verdict

__all__ = ["Clock", "Ran", "Verdict", "WaxwingError"]
__version__ = "0.1.0"
