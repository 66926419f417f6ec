"""Tests of the limits that follow from a machine."""

from __future__ import annotations

import unittest

from bronzerudder.http1.server import ServerLimits
from bronzerudder.intake import HTTP1_PROCESS_SIZE, WEB_PROCESS_SIZE, find_limits
from bronzerudder.intake.limits import MIB

LEAST_MEMORY_MB = 128
LEAST_DESCRIPTORS = 64


class LimitsTest(unittest.TestCase):
    def test_what_is_held_at_most_fits_the_memory(self):
        for size in (HTTP1_PROCESS_SIZE, WEB_PROCESS_SIZE):
            for memory_mb in (LEAST_MEMORY_MB, 168, 300, 4096):
                with self.subTest(size=size, memory_mb=memory_mb):
                    limits = find_limits({"memory_mb": memory_mb}, size)
                    held = limits.connections * size.connection_bytes
                    held += limits.held_bytes + limits.answer_bytes
                    self.assertLess(held, (memory_mb - size.process_mb) * MIB)

    def test_a_body_of_the_largest_size_fits_the_smallest_machine(self):
        for size in (HTTP1_PROCESS_SIZE, WEB_PROCESS_SIZE):
            limits = find_limits({"memory_mb": LEAST_MEMORY_MB}, size)
            self.assertGreater(limits.large_bytes, ServerLimits().body_bytes)

    def test_descriptors_are_left_for_backend_servers_and_files(self):
        for descriptors in (LEAST_DESCRIPTORS, 200, 1_124, 4_200):
            limits = find_limits(
                {"memory_mb": 65_536, "max_descriptors": descriptors}, HTTP1_PROCESS_SIZE
            )
            taken = 2 * limits.connections + limits.peer_connections
            self.assertLessEqual(taken, descriptors * 5 // 6)
