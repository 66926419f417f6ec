"""Datagram messages between processes; any of them may be lost."""

from __future__ import annotations

import msgspec


class RankLoad(msgspec.Struct, frozen=True, tag="load"):
    """Load of a rank, reported by its rank agent.

    Parameters
    ----------
    address : str
        ``host:port`` of the rank.
    requests : int
        Requests of all gateways that run or wait there.
    is_open : bool
        Whether its group is running.
    pace : float
        Ratio of the time that its work takes to the usual time; above 1 is slower.
    group : str
        Name of its group; empty from agents of earlier versions.
    """

    address: str
    requests: int
    is_open: bool
    pace: float = 1.0
    group: str = ""


class CrashSeen(msgspec.Struct, frozen=True, tag="crash"):
    """A backend server crashed while a gateway's requests ran on it.

    Parameters
    ----------
    crash_id : str
        Identifies the crash. Gateways that are certain of it use the same id, so that their reports
        count as one crash.
    fingerprints : list of str
        Subjects of the gateway's requests that were running there: fingerprints of requests, and
        parts of their prompts.
    age_s : float
        Time since the crash.
    """

    crash_id: str
    fingerprints: list[str]
    age_s: float = 0.0


class Cleared(msgspec.Struct, frozen=True, tag="cleared"):
    """Requests with these subjects have run without a crash, so they explain none."""

    subjects: list[str]


class CrashDigest(msgspec.Struct, frozen=True, tag="digest"):
    """Asks a gateway that knows of other crashes for them.

    Parameters
    ----------
    address : str
        ``host:port`` of the sender.
    value : int
        Equal at gateways that know of the same crashes.
    """

    address: str
    value: int


class CrashEvidence(msgspec.Struct, frozen=True, tag="evidence"):
    """The crashes that a gateway knows of.

    Parameters
    ----------
    crashes : list of CrashSeen
        Some of them, each with the subjects that best explain it.
    reply_to : str
        Address that wants the receiver's crashes in turn; empty for none.
    """

    crashes: list[CrashSeen]
    reply_to: str = ""


class ServerLimit(msgspec.Struct, frozen=True):
    """The newest statement on the rate at which a backend server accepts requests.

    Parameters
    ----------
    server : str
        The start of the backend server.
    rate_rps : float or None
        Requests per second of all gateways together; None for no limit.
    asked_age_s, heard_age_s : float
        Time since the request was sent whose answer stated it, and since that answer arrived.
    """

    server: str
    rate_rps: float | None
    asked_age_s: float
    heard_age_s: float


class ServerLimits(msgspec.Struct, frozen=True, tag="limits"):
    """Limits that a gateway knows of."""

    sender: str
    limits: list[ServerLimit]


class PermitRequest(msgspec.Struct, frozen=True, tag="permit-request"):
    """Asks the gateway that issues a server's permits for a permit to send it one request.

    Parameters
    ----------
    sender : str
        ``host:port`` of the gateway that asks.
    number : int
        Repeated by the answer.
    limit : ServerLimit
        The limit as the sender knows it.
    """

    sender: str
    number: int
    limit: ServerLimit


class PermitAnswer(msgspec.Struct, frozen=True, tag="permit-answer"):
    """Answers a request for a permit.

    Parameters
    ----------
    sender : str
        ``host:port`` of the gateway that answers.
    number : int
        Number of the request.
    limit : ServerLimit
        The limit as the sender knows it.
    issuer : str
        Gateway that issues the server's permits; empty if it is the sender, or not known.
    granted : bool
        Whether the permit is granted.
    delay_s, next_delay_s : float
        Time after which it is valid, and after which another one would be, in seconds.
    gateways : int
        Gateways that share the limit.
    """

    sender: str
    number: int
    limit: ServerLimit
    issuer: str
    granted: bool
    delay_s: float
    next_delay_s: float
    gateways: int


class GatewayCheck(msgspec.Struct, frozen=True, tag="check"):
    """Shows that a gateway runs, and may ask the receiver for the same."""

    sender: str
    wants_reply: bool


class SilenceQuery(msgspec.Struct, frozen=True, tag="silence-query"):
    """Asks whether the receiver hears a gateway that does not respond to the sender."""

    sender: str
    about: str


class SilenceReport(msgspec.Struct, frozen=True, tag="silence-report"):
    """Answers a query; `is_silent` is None while the sender is finding out."""

    sender: str
    about: str
    is_silent: bool | None


CrashMessage = CrashSeen | Cleared | CrashDigest | CrashEvidence
ServerLimitMessage = (
    ServerLimits | PermitRequest | PermitAnswer | GatewayCheck | SilenceQuery | SilenceReport
)
Message = RankLoad | CrashMessage | ServerLimitMessage

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Decode a message; None when it is not one."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
