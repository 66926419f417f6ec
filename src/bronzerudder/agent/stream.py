"""The gRPC stream of one connection, reporting failures as return values."""

from __future__ import annotations

import asyncio

import grpc.aio

from bronzerudder.concurrency import raise_if_cancelled
from bronzerudder.frames import exchange_pb2 as pb


class ExchangeStream:
    """Reads and writes messages of one stream.

    Parameters
    ----------
    call : grpc.aio.StreamStreamCall
        The running call.
    """

    def __init__(self, call: grpc.aio.StreamStreamCall) -> None:
        self._call = call

    async def read(self) -> pb.AgentBatch | None:
        """Read the next message; None once the stream has ended or failed."""
        try:
            batch = await self._call.read()
        except grpc.aio.AioRpcError:
            return None
        except asyncio.CancelledError:
            await raise_if_cancelled()
            return None
        return None if batch is grpc.aio.EOF else batch

    async def write(self, batch: pb.EntryBatch) -> bool:
        """Write a message; False once the stream has failed."""
        try:
            await self._call.write(batch)
        # grpc raises InvalidStateError if the stream ended just before the write.
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, grpc.aio.UsageError):
            return False
        except asyncio.CancelledError:
            await raise_if_cancelled()
            return False
        return True

    def cancel(self) -> None:
        """End the stream."""
        self._call.cancel()
