"""Serves the configuration in force to peers."""

from __future__ import annotations

from collections.abc import AsyncIterable, AsyncIterator
from typing import Any

from bronzerudder.configuration.api import ConfigurationSource
from bronzerudder.configuration.peer_pb2 import (
    DescribeRequest,
    FetchRequest,
    RevisionReply,
    UpdatePart,
)
from bronzerudder.configuration.peer_pb2_grpc import (
    ConfigurationPeerServicer,
    add_ConfigurationPeerServicer_to_server,
)
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.wire import receive_update, split_update


class ConfigurationPeerService(ConfigurationPeerServicer):
    """The ``ConfigurationPeer`` service of one process, entry or agent."""

    def __init__(self, shared: SharedConfiguration, source: ConfigurationSource) -> None:
        self._shared = shared
        self._source = source

    def add_to(self, server: Any) -> None:
        """Register the service on a gRPC server."""
        add_ConfigurationPeerServicer_to_server(self, server)

    async def Fetch(  # noqa: N802
        self, request: FetchRequest, context: Any
    ) -> AsyncIterator[UpdatePart]:
        """Send what is newer than the asker's revision."""
        update = self._shared.update_since(request.after_revision)
        if update is None:
            return
        for part in split_update(update):
            yield part

    async def Push(  # noqa: N802
        self, request_iterator: AsyncIterable[UpdatePart], context: Any
    ) -> RevisionReply:
        """Take a later revision."""
        await receive_update(self._shared, request_iterator)
        return self._reply()

    async def Describe(self, request: DescribeRequest, context: Any) -> RevisionReply:  # noqa: N802
        """Say which revision is in force."""
        return self._reply()

    def _reply(self) -> RevisionReply:
        return RevisionReply(revision=self._shared.revision, ready=self._source.is_ready)
