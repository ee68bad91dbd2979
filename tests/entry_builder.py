"""Starts entries inside a test, each with its own keys and ports."""

import asyncio
from dataclasses import dataclass, field

import zmq

from waxwinghold._clock import Clock
from waxwinghold._entry.process import EntryProcess
from waxwinghold._settings import EntrySettings, KnownKey, Peer

from .support.ports import free_port


def make_keys():
    """Return a new public and secret CURVE key in Z85."""
    return tuple(key.decode() for key in zmq.curve_keypair())


@dataclass(frozen=True, kw_only=True)
class EntryEndpoint:
    """The name, addresses and keys of one entry, kept when its process is replaced."""

    name: str
    data_centre: str
    link_port: int = field(default_factory=free_port)
    http_port: int = field(default_factory=free_port)
    keys: tuple[str, str] = field(default_factory=make_keys)

    @property
    def address(self):
        """The link address."""
        return f"tcp://127.0.0.1:{self.link_port}"


def start_entry(
    test, endpoint, platform_url, *, peer_endpoints=(), known_keys=(), **changes
):
    """Start an entry that ends with the test; return it and its task."""
    peers = tuple(
        Peer(
            name=peer_endpoint.name,
            data_centre=peer_endpoint.data_centre,
            address=peer_endpoint.address,
            public_key=peer_endpoint.keys[0],
        )
        for peer_endpoint in peer_endpoints
    )
    known_keys += tuple(
        KnownKey(name=peer.name, role="entry", public_key=peer.public_key)
        for peer in peers
    )
    settings = EntrySettings(
        name=endpoint.name,
        data_centre=endpoint.data_centre,
        link_address=endpoint.address,
        link_public_key=endpoint.keys[0],
        link_secret_key=endpoint.keys[1],
        platform_url=platform_url,
        token_secrets=("x" * 32,),
        known_keys=known_keys,
        peers=peers,
        http_address=f"127.0.0.1:{endpoint.http_port}",
        **changes,
    )
    process = EntryProcess(clock=Clock(), settings=settings)
    task = asyncio.create_task(process.run())
    test.addAsyncCleanup(stop_entry, task)
    return process, task


async def stop_entry(task):
    """Stop an entry without draining."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
