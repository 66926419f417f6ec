"""Opens a process's connection to the platform."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_instances import HttpInstanceList
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.settings.platform import PlatformSettings


class PlatformStore(NamedTuple):
    """The client, object store and instance list of one process."""

    client: PlatformClient
    objects: HttpObjectStore
    instances: HttpInstanceList


def open_store(settings: PlatformSettings, process_name: str) -> PlatformStore:
    """Create a client that sends the process's name with its calls; nothing is sent yet."""
    client = PlatformClient(settings["address"], process_name)
    return PlatformStore(client, HttpObjectStore(client), HttpInstanceList(client))
