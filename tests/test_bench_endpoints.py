"""Tests that the addresses of a bench do not collide."""

import socket
import unittest

from waxwinghold_bench.endpoints import free_addresses


class FreeAddressesTests(unittest.TestCase):
    def test_addresses_are_not_repeated(self):
        addresses = [*free_addresses(300), *free_addresses(300)]
        self.assertEqual(len(set(addresses)), 600)

    def test_port_in_use_is_skipped(self):
        port = int(free_addresses(1)[0].rpartition(":")[2])
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", port + 1))
            listener.listen()
            self.assertNotIn(f"127.0.0.1:{port + 1}", free_addresses(5))
