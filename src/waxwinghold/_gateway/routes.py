"""Looks up the route, the customer and the service of a request."""

import hashlib

from .._errors import RequestError

DIGEST_RANGE = 1 << 64


class UnknownRouteError(RequestError):
    """No route of the host has a prefix that matches the path."""

    code = "unknown_route"
    status = 404

    def __init__(self, *, host, path):
        super().__init__(f'no route of host "{host}" matches the path "{path}"')


class UnknownKeyError(RequestError):
    """The key belongs to no customer."""

    code = "unknown_key"
    status = 401

    def __init__(self):
        super().__init__("the key belongs to no customer")


class RouteTable:
    """A configuration, indexed for fast lookups.

    Args:
        configuration: The ``Configuration`` to look up in.
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self._routes = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._customers = {
            key: customer
            for customer in configuration.customers or ()
            for key in customer.keys
        }

    def route(self, *, host, path):
        """Return the route with the longest prefix that matches ``path``.

        Args:
            host: The host name, without a port.
            path: The path as it was sent, without the query.

        Raises:
            UnknownRouteError: No route matches.
        """
        routes = self._routes.get(host.lower())
        if routes:
            end = path.rfind("/")
            while end >= 0:
                route = routes.get(path[: end + 1])
                if route is not None:
                    return route
                end = path.rfind("/", 0, end)
        raise UnknownRouteError(host=host, path=path)

    def customer(self, *, route, key):
        """Return the customer that ``key`` belongs to, or ``None``.

        There is no customer if callers need no keys, or if the route is anonymous and
        the key belongs to none.

        Args:
            key: The caller's key, or an empty string.

        Raises:
            UnknownKeyError: The route requires the key of a customer.
        """
        if self.configuration.customers is None:
            return None
        customer = self._customers.get(key) if key else None
        if customer is None and not route.anonymous:
            raise UnknownKeyError
        return customer

    def service(self, *, route, request_id):
        """Return the name of the service that handles the request.

        The choice among the route's shares depends only on the request's id, so
        every gateway makes the same choice.
        """
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        point = _unit_interval(request_id) * total
        for share in shares:
            point -= share.weight
            if point < 0:
                return share.service
        return shares[-1].service


def _unit_interval(text):
    """Return a number from 0 up to 1 that depends only on ``text``."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / DIGEST_RANGE
