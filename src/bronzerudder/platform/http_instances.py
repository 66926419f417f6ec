"""Reads the platform's list of instances as JSON over HTTP."""

from __future__ import annotations

from bronzerudder.platform.api import Instance, InstanceList, InstanceState
from bronzerudder.platform.documents import InstanceDocument
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.platform.http_client import Call, PlatformClient

INSTANCES_PATH = "/v1/instances"


class HttpInstanceList(InstanceList):
    """Instance list reached through a `PlatformClient`."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def instances(self) -> tuple[Instance, ...] | StoreError:
        """Read the list."""
        documents = await self._client.call(Call("GET", INSTANCES_PATH, {}), list[InstanceDocument])
        if isinstance(documents, StoreError):
            return documents
        try:
            return tuple(_instance(document) for document in documents)
        except ValueError as error:
            return StoreError(StoreErrorKind.INVALID, str(error))


def _instance(document: InstanceDocument) -> Instance:
    return Instance(
        name=document["name"],
        role=document["role"],
        address=document["address"],
        failure_domain=document["failure_domain"],
        state=InstanceState(document["state"]),
    )
