"""Opens a process's connection to the platform."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_instances import HttpInstanceList
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.settings.platform import PlatformSettings


class PlatformStore(NamedTuple):
    """The platform as one process uses it."""

    client: PlatformClient
    objects: HttpObjectStore
    instances: HttpInstanceList


def open_store(settings: PlatformSettings, process_name: str) -> PlatformStore:
    """Open the connection under the process's name; nothing is sent yet."""
    client = PlatformClient(settings["address"], process_name)
    return PlatformStore(client, HttpObjectStore(client), HttpInstanceList(client))
