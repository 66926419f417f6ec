"""Entries and agents beside crowds of callers at their gRPC listeners."""

from __future__ import annotations

import asyncio
import socket

import anyio
import grpc.aio
import h2.config
import h2.connection
import h2.events
import h2.exceptions
from anyio.abc import TaskGroup

from bench.harness import Deployment, ManagedProcess, Shape
from bronzerudder.configuration.peer_pb2 import DescribeRequest
from bronzerudder.configuration.peer_pb2_grpc import ConfigurationPeerStub
from tests.crowds import crowd
from tests.crowds.case import CLIENTS, HANG_S, IDLE_CLIENTS, Call, CrowdCase, make_target
from tests.crowds.crowd import CHUNK_BYTES, Crowd, Target

MESSAGE_BYTES = 15_000_000
"""A message of the largest size that an agent accepts."""
PREFIX_BYTES = 5
OK = 0


class ShortMessages(Crowd):
    """Messages of the largest size without their last byte, one on each connection."""

    async def _send(
        self, sock: socket.socket, address: tuple[str, int], target: Target, tasks: TaskGroup
    ) -> None:
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
            await _MessageSender(sock, target).run()
        except (OSError, h2.exceptions.ProtocolError):
            # The connection was refused or closed.
            pass
        tasks.cancel_scope.cancel()


class _MessageSender:
    """Sends the start of a message on one HTTP/2 stream, as fast as the server allows."""

    def __init__(self, sock: socket.socket, target: Target) -> None:
        self._sock = sock
        self._target = target
        self._http = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
        self._rest = PREFIX_BYTES + target.body_bytes - 1

    async def run(self) -> None:
        """Send, and stay open until the server closes."""
        loop = asyncio.get_running_loop()
        self._http.initiate_connection()
        stream = self._http.get_next_available_stream_id()
        path = self._target.head.split()[1].decode()
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", self._target.address),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
        ]
        self._http.send_headers(stream, headers)
        prefix = b"\0" + self._target.body_bytes.to_bytes(4, "big")
        self._http.send_data(stream, prefix)
        self._rest -= len(prefix)
        while True:
            self._fill_window(stream)
            await loop.sock_sendall(self._sock, self._http.data_to_send())
            received = await loop.sock_recv(self._sock, CHUNK_BYTES)
            if not received:
                return
            for event in self._http.receive_data(received):
                if isinstance(event, h2.events.StreamReset | h2.events.StreamEnded):
                    return

    def _fill_window(self, stream: int) -> None:
        while self._rest:
            size = min(
                self._rest,
                self._http.local_flow_control_window(stream),
                self._http.max_outbound_frame_size,
            )
            if size <= 0:
                return
            self._http.send_data(stream, b"x" * size)
            self._rest -= size


class GrpcCrowdCase(CrowdCase):
    """The ordinary call asks for the revision in force; no larger one is made in calm."""

    memory_mb = 192
    path = b""

    async def start(self) -> None:
        machine = {"machine": self.machine}
        self.deployment = self.enterContext(
            Deployment(Shape(services=1, entry=machine, agent=machine))
        )
        address = self.find_address()
        self.listeners = [address]
        self.ordinary = self.largest = Call(address, b"POST", self.path, [], (OK,))
        self.targets = [make_target(self.ordinary, MESSAGE_BYTES)]

    def find_address(self) -> str:
        """Set the process, and return the address of its listener."""
        raise NotImplementedError

    async def call(self, call: Call, body: bytes = b"") -> int | str:
        """Ask for the revision in force."""
        try:
            async with grpc.aio.insecure_channel(call.address) as channel:
                await ConfigurationPeerStub(channel).Describe(DescribeRequest(), timeout=HANG_S)
        except grpc.aio.AioRpcError as error:
            await anyio.sleep(crowd.RECONNECT_DELAY_S)
            return f"{error.code()} {error.details()}"
        return OK


class GrpcCrowds:
    """The crowds, as tests of a `GrpcCrowdCase`."""

    async def test_messages_that_stop_short(self):
        await self.withstand(ShortMessages(CLIENTS))

    async def test_connections_that_send_nothing(self):
        await self.withstand(crowd.IdleConnections(IDLE_CLIENTS))


class EntryPeersTest(GrpcCrowds, GrpcCrowdCase):
    """Crowds at an entry's address for peers."""

    path = b"/bronzerudder.configuration.ConfigurationPeer/Fetch"

    def find_address(self) -> str:
        self.process: ManagedProcess = self.deployment.entries[0]
        return self.process.peer_address


class AgentPeersTest(GrpcCrowds, GrpcCrowdCase):
    """Crowds at an agent's address for entries."""

    path = b"/bronzerudder.frames.AgentExchange/Exchange"

    def find_address(self) -> str:
        self.process: ManagedProcess = self.deployment.services[0].agent
        return self.process.address
