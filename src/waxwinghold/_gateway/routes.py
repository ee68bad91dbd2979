"""Finds the route, the customer and the service of a request."""

import hashlib

from .._errors import RequestError

DIGEST_RANGE = 1 << 64


class UnknownRouteError(RequestError):
    """No route of the host begins the path."""

    code = "unknown_route"
    status = 404

    def __init__(self, *, host, path):
        super().__init__(f'no route of host "{host}" begins the path "{path}"')


class UnknownKeyError(RequestError):
    """No customer holds the key."""

    code = "unknown_key"
    status = 401

    def __init__(self):
        super().__init__("the key belongs to no customer")


class RouteTable:
    """One configuration, indexed for look-ups.

    Args:
        configuration: The ``Configuration`` that every look-up obeys.
    """

    def __init__(self, *, configuration):
        self.configuration = configuration
        self._routes = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._customers = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    def route(self, *, host, path):
        """Return the route with the longest prefix that begins ``path``.

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
        """Return the customer that holds ``key``; ``None`` on an open route.

        Args:
            key: The caller's key, or an empty string.

        Raises:
            UnknownKeyError: The route needs a key that a customer holds.
        """
        if not self.configuration.customers:
            return None
        customer = self._customers.get(key) if key else None
        if customer is None and not route.anonymous:
            raise UnknownKeyError
        return customer

    def service(self, *, route, request_id):
        """Return the name of the service that takes the request.

        The share follows from the request's id, so that every gateway draws
        the same one.
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
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / DIGEST_RANGE
