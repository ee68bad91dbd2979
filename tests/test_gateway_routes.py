"""Routes by host and longest prefix, customers by key, shares of services."""

import unittest

from waxwinghold._gateway.model import (
    Configuration,
    Customer,
    RequestKind,
    Route,
    ServiceShare,
)
from waxwinghold._gateway.routes import RouteTable, UnknownKeyError, UnknownRouteError


def route(prefix, *, host="a.example", shares=("one",), anonymous=False):
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=RequestKind.SAFE,
        shares=tuple(ServiceShare(service=name) for name in shares),
        timeout_ms=1000.0,
        latency_goal_ms=100.0,
        anonymous=anonymous,
    )


def table(*routes, customers=()):
    return RouteTable(
        configuration=Configuration(version=1, routes=routes, customers=customers)
    )


class RouteTests(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        routes = table(route("/a/"), route("/a/b/"), route("/"))
        for path, expected in (
            ("/a/b/c", "/a/b/"),
            ("/a/bc", "/a/"),
            ("/a/b", "/a/"),
            ("/x", "/"),
        ):
            found = routes.route(host="a.example", path=path)
            self.assertEqual(found.prefix, expected, path)

    def test_hosts_are_kept_apart_and_compared_without_case(self):
        routes = table(route("/a/"), route("/b/", host="b.example"))
        self.assertEqual(routes.route(host="B.Example", path="/b/1").prefix, "/b/")
        with self.assertRaises(UnknownRouteError):
            routes.route(host="a.example", path="/b/1")

    def test_a_path_that_no_prefix_begins_is_unknown(self):
        with self.assertRaises(UnknownRouteError):
            table(route("/a/")).route(host="a.example", path="/a")


class CustomerTests(unittest.TestCase):
    def setUp(self):
        self.customer = Customer(name="shop", keys=("k1", "k2"))

    def test_any_of_its_keys_names_a_customer(self):
        routes = table(route("/a/"), customers=(self.customer,))
        for key in ("k1", "k2"):
            found = routes.customer(route=route("/a/"), key=key)
            self.assertEqual(found, self.customer)

    def test_unknown_and_missing_keys_are_refused(self):
        routes = table(route("/a/"), customers=(self.customer,))
        for key in ("", "k3"):
            with self.assertRaises(UnknownKeyError):
                routes.customer(route=route("/a/"), key=key)

    def test_an_open_route_needs_no_key(self):
        routes = table(route("/a/"), customers=(self.customer,))
        opened = route("/a/", anonymous=True)
        self.assertIsNone(routes.customer(route=opened, key=""))


class ShareTests(unittest.TestCase):
    def test_a_request_always_draws_the_same_service(self):
        routes = table(route("/a/", shares=("one", "two")))
        found = routes.route(host="a.example", path="/a/")
        drawn = {routes.service(route=found, request_id="r7") for _ in range(5)}
        self.assertEqual(len(drawn), 1)

    def test_services_are_drawn_by_weight(self):
        shares = (
            ServiceShare(service="one", weight=90),
            ServiceShare(service="two", weight=10),
        )
        found = Route(
            name="r",
            host="a.example",
            prefix="/a/",
            kind=RequestKind.SAFE,
            shares=shares,
            timeout_ms=1.0,
            latency_goal_ms=1.0,
        )
        routes = table(found)
        drawn = [routes.service(route=found, request_id=f"r{i}") for i in range(2000)]
        self.assertAlmostEqual(drawn.count("two") / 2000, 0.1, delta=0.03)
