"""The policy registry, re-exported for this package."""

from .._registry import Registry, UnknownPolicyError

__all__ = ["Registry", "UnknownPolicyError"]
