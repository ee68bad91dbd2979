"""Configurations with many routes, with random names of realistic length."""

import json
import random
import string

HOSTS_COUNT = 24
SERVICES_COUNT = 12
CUSTOMERS_COUNT = 24
KEYS_COUNT = 3


def make_configuration(routes_count, *, version=1, seed=1):
    """Return a configuration as the operator writes it, as bytes.

    Versions of one seed differ in the version and in one key only.
    """
    rng = random.Random(seed)

    def name(*lengths):
        return "-".join(
            "".join(rng.choices(string.ascii_lowercase, k=rng.randint(4, length)))
            for length in lengths
        )

    def digits(count):
        return f"{rng.getrandbits(4 * count):0{count}x}"

    hosts = [f"{name(9)}.{name(10)}.example" for _ in range(HOSTS_COUNT)]
    services = [name(8, 9) for _ in range(SERVICES_COUNT)]
    kinds = [rng.choice(("safe", "unsafe", "stream")) for _ in range(routes_count)]
    routes = [
        {
            "name": f"{name(9, 9)}-{digits(8)}",
            "host": rng.choice(hosts),
            "prefix": f"/{name(9)}/{name(9)}/{digits(6)}",
            "route-kind": kind,
            "timeout-ms": rng.choice((1500, 8000, 30000)),
            "goal-ms": rng.choice((406, 407, 1007)),
            "gap-goal-ms": 120 if kind == "stream" else 0,
            "max-attempts": rng.choice((1, 2, 3)),
            "priority": rng.randrange(3),
            "service": rng.choice(services),
        }
        for kind in kinds
    ]
    tenants = [
        {"name": name(12), "api-keys": [digits(32) for _ in range(KEYS_COUNT)]}
        for _ in range(CUSTOMERS_COUNT)
    ]
    tenants[0]["api-keys"][0] = f"key-of-version-{version}"
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": service, "max-conns": 64} for service in services],
        "tenants": tenants,
    }
    return json.dumps(document, separators=(",", ":")).encode()
