"""The sheet and the keys of a test fleet."""

import hashlib

import zmq

TOKEN_SECRET = "s" * 32


def key_pair():
    """Return a CURVE key pair in Z85: the public key and the secret key."""
    return tuple(key.decode() for key in zmq.curve_keypair())


ENTRY_KEYS = key_pair()
AGENT_KEYS = key_pair()
OPERATOR_KEYS = key_pair()

KNOWN_KEYS = (
    {"name": "entries", "role": "entry", "public_key": ENTRY_KEYS[0]},
    {"name": "agents", "role": "agent", "public_key": AGENT_KEYS[0]},
    {"name": "operators", "role": "operator", "public_key": OPERATOR_KEYS[0]},
)


def make_document(*, version, targets, deadline_ms):
    """Return a sheet as a dictionary of plain types.

    Args:
        version: Version of the sheet.
        targets: Dictionaries with ``name``, ``data_centre`` and ``agent_port``.
        deadline_ms: Deadline of every call, in milliseconds.
    """
    service_names = {target["name"].partition("-")[0] for target in targets}
    services = [_fitting(deadline_ms), _booking(deadline_ms)]
    models = [{"name": "sizer", "versions": [{"version": "v1", "weights_bytes": 1000}]}]
    return {
        "version": version,
        "issued_by": "planner",
        "services": [
            service for service in services if service["name"] in service_names
        ],
        "models": models if "fitting" in service_names else [],
        "groups": [],
        "targets": [_target(target) for target in targets],
        "customers": [_customer(name, service_names) for name in ("suva", "tour-desk")],
    }


def _fitting(deadline_ms):
    calls = [
        {"name": "question", "repeat": "idempotent", "deadline_ms": deadline_ms},
        {
            "name": "advice",
            "repeat": "idempotent",
            "streamed": True,
            "deadline_ms": deadline_ms,
        },
    ]
    versions = [{"version": "v1", "share_percent": 100}]
    return {
        "name": "fitting",
        "kind": "model",
        "model": "sizer",
        "versions": versions,
        "calls": calls,
    }


def _booking(deadline_ms):
    calls = [
        {"name": "hold", "repeat": "once", "deadline_ms": deadline_ms},
        {"name": "stock", "repeat": "idempotent", "deadline_ms": deadline_ms},
        {"name": "note", "repeat": "single", "deadline_ms": deadline_ms},
    ]
    versions = [{"version": "v1", "share_percent": 100}]
    return {"name": "booking", "kind": "plain", "versions": versions, "calls": calls}


def _target(target):
    return {
        "name": target["name"],
        "service": target["name"].partition("-")[0],
        "data_centre": target["data_centre"],
        "version": "v1",
        "agent_address": f"tcp://127.0.0.1:{target['agent_port']}",
        "agent_public_key": AGENT_KEYS[0],
    }


def _customer(name, services):
    token_digest = hashlib.sha256(f"{name}-token".encode()).hexdigest()
    return {"name": name, "token_sha256": token_digest, "services": sorted(services)}
