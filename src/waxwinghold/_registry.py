"""A registry of interchangeable policy classes, filled by a decorator."""

from ._errors import WaxwingError


class UnknownPolicyError(WaxwingError):
    """A policy name that is not registered."""

    code = "unknown_policy"

    def __init__(self, *, kind, name, registered):
        names = ", ".join(registered)
        super().__init__(f'{kind} policy "{name}" does not exist; known: {names}')


class Registry:
    """Maps names to policy classes; an instance is used as the decorator.

    Args:
        kind: What the policies decide, for error messages.
    """

    def __init__(self, *, kind):
        self._kind = kind
        self._classes = {}

    def __call__(self, name):
        """Return a decorator that registers a class under ``name``."""

        def register(policy_class):
            self._classes[name] = policy_class
            return policy_class

        return register

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self._classes)

    def make(self, name, **arguments):
        """Create a policy by its registered name.

        Args:
            name: The name of the policy.
            arguments: Keyword arguments of the policy's constructor.

        Raises:
            UnknownPolicyError: No policy is registered under ``name``.
        """
        if name not in self._classes:
            raise UnknownPolicyError(
                kind=self._kind, name=name, registered=self.names()
            )
        return self._classes[name](**arguments)
