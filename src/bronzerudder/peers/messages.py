"""Messages between the system's processes that may be lost."""

from __future__ import annotations

import msgspec


class RankLoad(msgspec.Struct, frozen=True, tag="load"):
    """Load of a rank, read by the agent beside it.

    Parameters
    ----------
    address : str
        ``host:port`` of the rank.
    requests : int
        Requests that run or wait there, of all gateways.
    is_open : bool
        Whether its group runs.
    pace : float
        Time that its work takes, against what it usually takes.
    """

    address: str
    requests: int
    is_open: bool
    pace: float = 1.0


class CrashSeen(msgspec.Struct, frozen=True, tag="crash"):
    """A backend server crashed while a gateway's requests ran on it.

    Parameters
    ----------
    crash_id : str
        Names the crash as this gateway saw it.
    fingerprints : list of str
        Requests of the gateway that were running there.
    """

    crash_id: str
    fingerprints: list[str]


Message = RankLoad | CrashSeen

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Decode a message; None when it is not one."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
