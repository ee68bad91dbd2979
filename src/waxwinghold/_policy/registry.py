"""The registry of policies, under the name by which this package offers it."""

from .._registry import Registry, UnknownPolicyError

__all__ = ["Registry", "UnknownPolicyError"]
