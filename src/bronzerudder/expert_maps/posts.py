"""What the agents of a group tell their leader."""

from __future__ import annotations

import msgspec

from bronzerudder.expert_maps.api import RankCounts, RankPlaces, RankState

POST_PATH = b"/rank"
ACCEPTED = 200
NOT_LEADER = 409


class RankPost(msgspec.Struct, frozen=True):
    """State of a rank, and with some posts its counts and places.

    Parameters
    ----------
    state : RankState
        Read on the rank's own machine just before.
    counts : RankCounts or None
        What its requests chose.
    places : RankPlaces or None
        Experts that it holds.
    """

    state: RankState
    counts: RankCounts | None = None
    places: RankPlaces | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RankPost)


def encode_post(post: RankPost) -> bytes:
    """Encode a post."""
    return _encoder.encode(post)


def decode_post(data: bytes) -> RankPost | None:
    """Decode a post; None when it is not one."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
