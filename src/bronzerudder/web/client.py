"""Creates httpx clients."""

from __future__ import annotations

import ssl
from typing import Any

import httpx

HTTPS_SCHEME = "https://"


def open_client(url: str, **options: Any) -> httpx.AsyncClient:
    """Create a client for one base URL that ignores proxy settings of the environment.

    CA certificates are loaded only for an https URL, as they take several megabytes of memory.

    Parameters
    ----------
    url : str
        Base URL of all requests.
    **options
        Passed to `httpx.AsyncClient`.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    if url.startswith(HTTPS_SCHEME):
        context.load_default_certs()
    return httpx.AsyncClient(base_url=url, verify=context, trust_env=False, **options)
