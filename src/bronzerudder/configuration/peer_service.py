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
    """Implements the ``ConfigurationPeer`` service of an entry or agent."""

    def __init__(self, shared: SharedConfiguration, source: ConfigurationSource) -> None:
        self._shared = shared
        self._source = source

    def add_to(self, server: Any) -> None:
        """Register the service on a gRPC server."""
        add_ConfigurationPeerServicer_to_server(self, server)

    async def Fetch(  # noqa: N802
        self, request: FetchRequest, context: Any
    ) -> AsyncIterator[UpdatePart]:
        """Send the decisions after the client's revision, the complete configuration or nothing."""
        update = self._shared.update_since(request.after_revision)
        if update is None:
            return
        for part in split_update(update):
            yield part

    async def Push(  # noqa: N802
        self, request_iterator: AsyncIterable[UpdatePart], context: Any
    ) -> RevisionReply:
        """Apply a later revision pushed by a peer; report the one then in force."""
        await receive_update(self._shared, request_iterator)
        return self._reply()

    async def Describe(self, request: DescribeRequest, context: Any) -> RevisionReply:  # noqa: N802
        """Report the revision in force and whether this process is ready."""
        return self._reply()

    def _reply(self) -> RevisionReply:
        return RevisionReply(revision=self._shared.revision, ready=self._source.is_ready)
