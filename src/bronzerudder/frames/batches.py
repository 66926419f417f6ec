"""Divides queued frames into messages that the receiver accepts."""

from __future__ import annotations

from typing import TypeVar

from bronzerudder.frames import exchange_pb2 as pb

MAX_MESSAGE_BYTES = 16_000_000
"""Largest message that either side receives; a larger one ends the connection."""

MAX_BATCH_BYTES = 1_000_000
"""Size at which a batch is sent; one frame may be larger, up to `MAX_MESSAGE_BYTES`."""

Frame = TypeVar("Frame", pb.AgentFrame, pb.EntryFrame)


def take_batch(pending: list[Frame], max_frames: int) -> list[Frame]:
    """Remove the frames of the next message from the front of a queue, at least one."""
    count = 0
    size = 0
    for frame in pending[:max_frames]:
        size += frame.ByteSize()
        if count and size > MAX_BATCH_BYTES:
            break
        count += 1
    frames = pending[:count]
    del pending[:count]
    return frames
