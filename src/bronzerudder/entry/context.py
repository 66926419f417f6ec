"""What all connections from entries share."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.configuration import ConfigurationSource
from bronzerudder.execution import Executor
from bronzerudder.quarantine import QuarantineFeed

DEFAULT_MAX_FRAMES = 256


class AgentIdentity(NamedTuple):
    """Names an agent and one life of its process."""

    agent_id: str
    failure_domain: str
    incarnation: int


class Packing(NamedTuple):
    """How frames share messages.

    Parameters
    ----------
    delay_s : float
        How long the first frame waits for others, in seconds; 0 packs only what is due already.
    max_frames : int
        Most frames in one message.
    """

    delay_s: float = 0.0
    max_frames: int = DEFAULT_MAX_FRAMES


class SessionContext(NamedTuple):
    """The parts of the agent that a connection works with.

    Parameters
    ----------
    identity : AgentIdentity
        Told to entries.
    executor : Executor
        Runs what entries submit.
    source : ConfigurationSource
        Whose revision is shown to entries, and which learns theirs.
    feed : QuarantineFeed
        Exchanges news of crashes with entries.
    packing : Packing
        How frames share messages.
    """

    identity: AgentIdentity
    executor: Executor
    source: ConfigurationSource
    feed: QuarantineFeed
    packing: Packing = Packing()
