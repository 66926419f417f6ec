"""Tells an agent that has died from one that can not be reached."""

from __future__ import annotations

import anyio

PROBE_TIMEOUT_S = 0.25


async def is_refused(address: str) -> bool:
    """Tell whether nothing listens at an address: its process, and all it held, is gone.

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
