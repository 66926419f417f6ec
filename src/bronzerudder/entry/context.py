"""State and settings shared by the connections of all entries."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.configuration import ConfigurationSource
from bronzerudder.execution import Executor
from bronzerudder.quarantine import QuarantineFeed

DEFAULT_MAX_FRAMES = 256


class AgentIdentity(NamedTuple):
    """Identifies an agent and the incarnation of its process."""

    agent_id: str
    failure_domain: str
    incarnation: int


class Packing(NamedTuple):
    """How frames are packed into messages.

    Parameters
    ----------
    delay_s : float
        How long the first frame waits for others, in seconds; 0 packs only frames already queued.
    max_frames : int
        Maximum number of frames in one message.
    """

    delay_s: float = 0.0
    max_frames: int = DEFAULT_MAX_FRAMES


class SessionContext(NamedTuple):
    """Components of the agent that each connection uses.

    Parameters
    ----------
    identity : AgentIdentity
        Sent to entries.
    executor : Executor
        Runs the attempts that entries submit.
    source : ConfigurationSource
        Its revision is sent to entries, and it receives theirs.
    feed : QuarantineFeed
        Exchanges crash reports and clearances with entries.
    packing : Packing
        How frames are packed into messages.
    """

    identity: AgentIdentity
    executor: Executor
    source: ConfigurationSource
    feed: QuarantineFeed
    packing: Packing = Packing()
