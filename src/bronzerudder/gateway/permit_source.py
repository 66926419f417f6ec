"""Interface to the permits for requests to backend servers that limit their rate."""

from __future__ import annotations

import abc
from collections.abc import Sequence

from bronzerudder.policy.routing import SendGate


class PermitSource(abc.ABC):
    """Obtains permits, and estimates when they come."""

    @property
    @abc.abstractmethod
    def has_limits(self) -> bool:
        """Whether any backend server has a limit."""

    @abc.abstractmethod
    def request_permits(self, gates: Sequence[SendGate], count: int) -> None:
        """Ask for permits until `count` of them are held or asked for.

        Parameters
        ----------
        gates : sequence of SendGate
            Backend servers that can take requests; those with the shortest wait are asked first.
        count : int
            Requests that wait.
        """

    @abc.abstractmethod
    def request_available(self, gates: Sequence[SendGate], only_unheard: bool) -> SendGate | None:
        """Ask for a permit that is probably available now.

        Parameters
        ----------
        gates : sequence of SendGate
            Backend servers that can take a request.
        only_unheard : bool
            Whether only servers are considered that have not been heard from for some time.

        Returns
        -------
        SendGate or None
            The backend server whose permit was asked for; None if there is none.
        """

    @abc.abstractmethod
    def estimate_wait_s(self, gates: Sequence[SendGate], ahead: int) -> float:
        """Estimate the time until a permit is left behind `ahead` other requests, in seconds."""

    @abc.abstractmethod
    def describe_limits(self, gates: Sequence[SendGate]) -> str:
        """Describe the limits of several backend servers, for the reason of a refusal."""
