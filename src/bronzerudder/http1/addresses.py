"""Addresses of other processes, as messages, the store and settings contain them."""

from __future__ import annotations

import functools
import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
ADDRESS_CACHE_SIZE = 4096


@functools.lru_cache(ADDRESS_CACHE_SIZE)
def parse_address(address: str) -> tuple[str, int] | None:
    """Split an address as ``host:port``; None unless the host is an IPv4 address.

    Messages and the store bring addresses of others; a name would be resolved, which blocks.
    """
    host, _, port = address.rpartition(":")
    if len(port) > MAX_PORT_DIGITS or not port.isascii() or not port.isdecimal():
        return None
    if int(port) > MAX_PORT:
        return None
    try:
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        return None
