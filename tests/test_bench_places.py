"""The bench's addresses do not collide."""

import socket
import unittest

from waxwinghold_bench.endpoints import free_addresses


class FreeAddressesTests(unittest.TestCase):
    def test_no_address_comes_twice(self):
        addresses = [*free_addresses(300), *free_addresses(300)]
        self.assertEqual(len(set(addresses)), 600)

    def test_a_taken_port_is_left_out(self):
        port = int(free_addresses(1)[0].rpartition(":")[2])
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", port + 1))
            taken.listen()
            self.assertNotIn(f"127.0.0.1:{port + 1}", free_addresses(5))
