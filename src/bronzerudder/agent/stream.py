"""The gRPC stream of one connection, with its failures as values."""

from __future__ import annotations

import asyncio

import grpc.aio

from bronzerudder.frames import exchange_pb2 as pb


class ExchangeStream:
    """Reads and writes messages of one stream until it fails.

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
            _raise_if_own_cancellation()
            return None
        return None if batch is grpc.aio.EOF else batch

    async def write(self, batch: pb.EntryBatch) -> bool:
        """Write a message; False once the stream has failed."""
        try:
            await self._call.write(batch)
        # The library raises the second where the stream ended just before.
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, grpc.aio.UsageError):
            return False
        except asyncio.CancelledError:
            _raise_if_own_cancellation()
            return False
        return True

    def cancel(self) -> None:
        """End the stream."""
        self._call.cancel()


def _raise_if_own_cancellation() -> None:
    """Pass a cancellation of this task on, but not one that stands for the peer's."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
