"""Tests of the lookup of routes, customers and services."""

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


def table(*routes, customers=None):
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
            match = routes.route(host="a.example", path=path)
            self.assertEqual(match.prefix, expected, path)

    def test_hosts_have_separate_routes_and_ignore_case(self):
        routes = table(route("/a/"), route("/b/", host="b.example"))
        self.assertEqual(routes.route(host="B.Example", path="/b/1").prefix, "/b/")
        with self.assertRaises(UnknownRouteError):
            routes.route(host="a.example", path="/b/1")

    def test_a_path_without_a_matching_prefix_is_unknown(self):
        with self.assertRaises(UnknownRouteError):
            table(route("/a/")).route(host="a.example", path="/a")


class CustomerTests(unittest.TestCase):
    def setUp(self):
        self.customer = Customer(name="shop", keys=("k1", "k2"))

    def test_any_key_of_a_customer_identifies_it(self):
        routes = table(route("/a/"), customers=(self.customer,))
        for key in ("k1", "k2"):
            match = routes.customer(route=route("/a/"), key=key)
            self.assertEqual(match, self.customer)

    def test_unknown_and_missing_keys_are_rejected(self):
        routes = table(route("/a/"), customers=(self.customer,))
        for key in ("", "k3"):
            with self.assertRaises(UnknownKeyError):
                routes.customer(route=route("/a/"), key=key)

    def test_no_key_is_valid_once_there_are_no_customers(self):
        # Every request ran, with any key or none.
        routes = table(route("/a/"), customers=())
        for key in ("", "k1"):
            with self.assertRaises(UnknownKeyError):
                routes.customer(route=route("/a/"), key=key)
        opened = route("/a/", anonymous=True)
        self.assertIsNone(routes.customer(route=opened, key="k1"))

    def test_no_key_is_needed_where_keys_are_not_used(self):
        routes = table(route("/a/"))
        self.assertIsNone(routes.customer(route=route("/a/"), key=""))

    def test_an_anonymous_route_needs_no_key(self):
        routes = table(route("/a/"), customers=(self.customer,))
        opened = route("/a/", anonymous=True)
        self.assertIsNone(routes.customer(route=opened, key=""))


class ShareTests(unittest.TestCase):
    def test_a_request_always_gets_the_same_service(self):
        routes = table(route("/a/", shares=("one", "two")))
        match = routes.route(host="a.example", path="/a/")
        drawn = {routes.service(route=match, request_id="r7") for _ in range(5)}
        self.assertEqual(len(drawn), 1)

    def test_services_are_selected_by_weight(self):
        shares = (
            ServiceShare(service="one", weight=90),
            ServiceShare(service="two", weight=10),
        )
        match = Route(
            name="r",
            host="a.example",
            prefix="/a/",
            kind=RequestKind.SAFE,
            shares=shares,
            timeout_ms=1.0,
            latency_goal_ms=1.0,
        )
        routes = table(match)
        drawn = [routes.service(route=match, request_id=f"r{i}") for i in range(2000)]
        self.assertAlmostEqual(drawn.count("two") / 2000, 0.1, delta=0.03)
