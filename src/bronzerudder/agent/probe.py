"""Distinguishes an agent whose process has ended from one that is unreachable."""

from __future__ import annotations

import anyio

PROBE_TIMEOUT_S = 0.25


async def refuses_connections(address: str) -> bool:
    """Return whether connections are refused: the process, and with it its attempts, is gone.

    Parameters
    ----------
    address : str
        ``host:port``.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError) as error:
        return isinstance(error.__cause__ or error, ConnectionRefusedError)
    await stream.aclose()
    return False
