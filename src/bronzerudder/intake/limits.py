"""Limits of what one process may hold for its callers, derived from its machine."""

from __future__ import annotations

import resource
from typing import NamedTuple, TypedDict

MIB = 1_048_576
RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer that is asked for; the kernel doubles it, and fills it to 49,152 unread bytes."""
CONNECTION_SHARE = 3
HELD_SHARE = 4
ANSWER_SHARE = 4
"""Parts of the memory beyond the process's own that connections, requests with answers to callers,
and answers of backend servers may take; the rest is left for fragmentation and streams."""
CALLER_DESCRIPTOR_SHARE = 3
PEER_DESCRIPTOR_SHARE = 6
"""Parts of the descriptors that callers and peers may take. A request takes one for its caller and
one for its backend server; the rest is left for listeners, the store and files."""
LARGE_FRACTION = 0.75
"""Fraction of the held bytes that connections above `SMALL_BYTES` may take together."""


class MachineLimits(TypedDict, total=False):
    """What a machine allows one process: memory in MiB, and open descriptors.

    Without ``max_descriptors``, or if that is lower, the limit of the operating system applies.
    """

    memory_mb: int
    max_descriptors: int


class ProcessSize(NamedTuple):
    """Memory that a kind of process needs apart from what it holds for callers.

    Parameters
    ----------
    default_memory_mb : int
        Memory of the machine in MiB, if it is not set.
    process_mb : int
        Memory without callers, in MiB: interpreter, libraries, configuration and histories.
    connection_bytes : int
        Memory of one connection without a request, unread bytes included.
    """

    default_memory_mb: int
    process_mb: int
    connection_bytes: int


HTTP1_PROCESS_SIZE = ProcessSize(default_memory_mb=256, process_mb=64, connection_bytes=98_304)
"""Gateways and rank agents; a connection has a task, a parser and unread bytes."""
WEB_PROCESS_SIZE = ProcessSize(default_memory_mb=1_024, process_mb=96, connection_bytes=393_216)
"""Entries and agents; a connection has tasks, the buffers of reader, parser and application, and
unread bytes."""


class IntakeLimits(NamedTuple):
    """What one process may hold for its callers.

    Parameters
    ----------
    connections : int
        Connections of one listener for callers.
    held_bytes : int
        Bytes of requests and of answers that are being sent, over all connections.
    answer_bytes : int
        Bytes of answers of backend servers that are being read.
    peer_connections : int
        Connections that wait for use by peers: idle ones to backend servers, or those of other
        processes of the system.
    """

    connections: int
    held_bytes: int
    answer_bytes: int
    peer_connections: int

    @property
    def large_bytes(self) -> int:
        """Bytes that connections above `SMALL_BYTES` may hold together."""
        return int(self.held_bytes * LARGE_FRACTION)


def find_limits(machine: MachineLimits | None, size: ProcessSize) -> IntakeLimits:
    """Derive the limits of a process from what its machine allows."""
    settings = machine or {}
    memory_mb = settings.get("memory_mb", size.default_memory_mb)
    shareable = max(0, memory_mb - size.process_mb) * MIB
    connections = shareable // CONNECTION_SHARE // size.connection_bytes
    peer_connections = connections
    for descriptors in _descriptor_limits(settings):
        connections = min(connections, descriptors // CALLER_DESCRIPTOR_SHARE)
        peer_connections = min(peer_connections, descriptors // PEER_DESCRIPTOR_SHARE)
    return IntakeLimits(
        max(1, connections),
        shareable // HELD_SHARE,
        shareable // ANSWER_SHARE,
        max(1, peer_connections),
    )


def _descriptor_limits(machine: MachineLimits) -> list[int]:
    limits = []
    if "max_descriptors" in machine:
        limits.append(machine["max_descriptors"])
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit != resource.RLIM_INFINITY:
        limits.append(system_limit)
    return limits
