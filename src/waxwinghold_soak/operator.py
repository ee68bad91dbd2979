"""The operator: publishes configurations and keys, lists and removes workers."""

import asyncio

from waxwinghold_standins.fleet_store import route_entry, worker_entry

CUSTOMER = "a-customer"
MODELS = "models"
STREAM_FIELDS = {"resumable": True, "gap-goal-ms": 500, "timeout-ms": 4000}


class Operator:
    """Writes to the store and records when each change was acknowledged.

    Args:
        store: The ``FleetStore``.
        timeline: The ``OperatorTimeline`` of the checker.

    Attributes:
        version: Version of the configuration that was acknowledged last. It
            has a route ``/vN/`` for each version N from 1 to its own.
        keys_in_use: Keys that callers send, including recently revoked ones.
    """

    def __init__(self, *, store, timeline):
        self._store = store
        self._timeline = timeline
        self._keys = ["key-0"]
        self._keys_count = 1
        # The last value of each item; ``None`` if it was deleted.
        self._written = {}
        self.version = 0
        self.keys_in_use = ["key-0"]

    def publish(self):
        """Write the next configuration, which adds the route of its version."""
        self.version += 1
        routes = [
            route_entry(name=kind, prefix=f"/{kind}/", kind=kind, service=MODELS)
            for kind in ("safe", "unsafe")
        ]
        routes.append(_stream_route("stream", **STREAM_FIELDS))
        routes.append(_stream_route("once", **{"timeout-ms": 4000}))
        routes += [
            route_entry(name=f"v{n}", prefix=f"/v{n}/", kind="safe", service=MODELS)
            for n in range(1, self.version + 1)
        ]
        configuration = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": MODELS, "max-conns": 200},
                {"name": "ranks", "max-conns": 50, "engine": _engine()},
            ],
            "tenants": [{"name": CUSTOMER, "api-keys": list(self._keys)}],
        }
        self._put("op/config", configuration)
        self._timeline.acknowledged_at[self.version] = _now()

    def change_keys(self):
        """Add a key, and revoke the oldest one if there are several."""
        revoked = self._keys.pop(0) if len(self._keys) > 1 else None
        key = f"key-{self._keys_count}"
        self._keys_count += 1
        self._keys.append(key)
        self.publish()
        # A gateway that does not have a new key yet rejects it, which the checker
        # would report; callers therefore use it only some seconds later.
        loop = asyncio.get_running_loop()
        loop.call_later(5.0, self.keys_in_use.append, key)
        if revoked is not None:
            self._timeline.revoked_at[revoked] = _now()
            # Callers go on using the revoked key, so that the checker sees whether it
            # still works.
            loop.call_later(12.0, self._stop_using_key, revoked)

    def list_worker(self, worker, address, *, state="ready"):
        """Write a worker's entry.

        Args:
            worker: The ``SoakWorker``.
            address: ``(ip, port)`` at which gateways reach it.
            state: ``ready`` or ``draining``.
        """
        entry = worker_entry(service=MODELS, address=address, slots=20, state=state)
        self._put(f"servers/{worker.name}", entry)
        if state == "draining":
            self._timeline.leaving_at[worker.name] = _now()

    def list_rank(self, name, address):
        """Write the entry of a rank.

        Args:
            name: Name of the entry.
            address: ``(ip, port)`` of the rank's server.
        """
        self._put(
            f"servers/{name}", worker_entry(service="ranks", address=address, slots=4)
        )

    def remove(self, name):
        """Delete the entry of a worker or a rank."""
        self._written[f"servers/{name}"] = None
        self._store.delete(f"servers/{name}")

    def write_again(self):
        """Write everything again, as after the store has lost a part of it."""
        for key, value in self._written.items():
            if value is None:
                self._store.delete(key)
            else:
                self._store.put(key, value)

    def _put(self, key, value):
        self._written[key] = value
        self._store.put(key, value)

    def _stop_using_key(self, key):
        if key in self.keys_in_use and len(self.keys_in_use) > 1:
            self.keys_in_use.remove(key)


def _stream_route(name, **fields):
    return route_entry(
        name=name, prefix=f"/{name}/", kind="stream", service=MODELS, **fields
    )


def _engine():
    return {
        "sets": 2,
        "experts": 16,
        "placements": 8,
        "spare": 4,
        "slots": 4,
        "expert-mb": 0.1,
        "expert-share": 0.85,
        "link-mbps": 1000.0,
    }


def _now():
    return asyncio.get_running_loop().time()
