"""Finds out which of the other gateways respond, as they may issue permits."""

from __future__ import annotations

import random
from collections.abc import Iterable

from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.observability.event_log import EventLog
from bronzerudder.peers.messages import GatewayCheck, SilenceQuery, SilenceReport
from bronzerudder.peers.messenger import GatewayMessenger
from bronzerudder.policy.server_limits import GatewayRanking

ANSWER_TIMEOUT_S = 0.1
"""Time after which a message counts as lost; answers take a few milliseconds."""
CHECK_INTERVAL_S = 1.0
"""Pause between checks whether a gateway that was passed over responds again."""
RECENTLY_HEARD_S = 1.0
"""A gateway that was heard within this time needs no check."""
GREETED_SUCCESSORS = 2
"""Gateways that would issue permits next; they must hear of a new issuer before the registry lists
it."""
QUERY_INTERVAL_S = 0.1
CONFIRMATION_S = 5.0
"""Time for which another gateway's report that an issuer is silent holds."""


class PeerLiveness:
    """Records messages of other gateways, and checks those that leave some unanswered.

    Parameters
    ----------
    messenger : GatewayMessenger
        Sends messages to the other gateways.
    ranking : GatewayRanking
        Passes over the gateways that do not respond.
    log : EventLog
        Takes a line when a gateway stops to respond or responds again.
    metrics : GatewayMetrics
        Counts messages without an answer.
    """

    def __init__(
        self,
        messenger: GatewayMessenger,
        ranking: GatewayRanking,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._messenger = messenger
        self._ranking = ranking
        self._log = log
        self._metrics = metrics
        self._checked_at_s: dict[str, float] = {}
        self._unanswered_checks: dict[str, float] = {}
        self._greeted_at_s: dict[str, float] = {}
        self._confirmed_until_s: dict[str, float] = {}
        self._queried_at_s: dict[str, float] = {}

    def record_heard(self, address: str, now_s: float) -> None:
        """Record a message of a gateway."""
        self._unanswered_checks.pop(address, None)
        self._confirmed_until_s.pop(address, None)
        self.introduce(address, now_s)

    def introduce(self, address: str, now_s: float) -> None:
        """Record that another gateway has heard a gateway."""
        if self._ranking.record_heard(address, now_s):
            self._log.state("gateway responds again", gateway=address)

    def record_unanswered(self, address: str, asked_at_s: float, now_s: float) -> None:
        """Record that a gateway has left a message unanswered."""
        self._metrics.permits.labels("unanswered").inc()
        if self._ranking.record_unanswered(address, asked_at_s, now_s):
            self._log.state("gateway does not respond", gateway=address)
            self.check(address, 0.0, now_s)

    def expire(self, now_s: float) -> None:
        """Give up checks that were not answered in time."""
        for address, asked_at_s in list(self._unanswered_checks.items()):
            if now_s - asked_at_s < ANSWER_TIMEOUT_S:
                continue
            del self._unanswered_checks[address]
            self.record_unanswered(address, asked_at_s, now_s)

    def check(self, address: str, interval_s: float, now_s: float) -> None:
        """Check whether a gateway responds, unless it was checked within the interval."""
        if now_s - self._checked_at_s.get(address, float("-inf")) < interval_s:
            return
        self._checked_at_s[address] = now_s
        self._unanswered_checks.setdefault(address, now_s)
        self._messenger.send_to(GatewayCheck(self._messenger.address, True), address)

    def check_silent(self, server: str, issuer: str, now_s: float) -> None:
        """Check whether the gateways that rank before the issuer respond again."""
        for address in self._ranking.silent_before(server, issuer):
            self.check(address, CHECK_INTERVAL_S, now_s)

    def greet(self, server: str, now_s: float) -> None:
        """Let the next gateways know of this one, so that they do not issue permits as well."""
        for address in self._ranking.successors(server, GREETED_SUCCESSORS):
            if now_s - self._greeted_at_s.get(address, float("-inf")) < CHECK_INTERVAL_S:
                continue
            self._greeted_at_s[address] = now_s
            self._messenger.send_to(GatewayCheck(self._messenger.address, False), address)

    def may_issue_alone(self, server: str, now_s: float) -> bool:
        """Whether this gateway may issue permits for itself that no other one has asked for.

        A gateway that ranks before it may be silent to this one only, and issue to all others. So
        another gateway has to confirm that it is silent.
        """
        if self._ranking.is_isolated(now_s):
            return False
        is_confirmed = True
        for address in self._ranking.silent_before(server, self._messenger.address):
            if self._confirmed_until_s.get(address, 0.0) <= now_s:
                is_confirmed = False
                self._query_silence(address, now_s)
        return is_confirmed

    def confirm_silent(self, addresses: Iterable[str], now_s: float) -> None:
        """Record that another gateway finds gateways silent that are silent to this one."""
        for address in addresses:
            if self._ranking.is_silent(address):
                self._confirmed_until_s[address] = now_s + CONFIRMATION_S

    def report_silence(self, query: SilenceQuery, now_s: float) -> None:
        """Tell another gateway whether a gateway is silent to this one too."""
        if query.about not in self._ranking.members:
            return
        is_silent: bool | None = None
        if query.about == self._messenger.address:
            is_silent = False
        elif self._ranking.is_silent(query.about):
            is_silent = True
            self.check(query.about, CHECK_INTERVAL_S, now_s)
        elif self._ranking.was_heard_within(query.about, RECENTLY_HEARD_S, now_s):
            is_silent = False
        else:
            self.check(query.about, ANSWER_TIMEOUT_S, now_s)
        report = SilenceReport(self._messenger.address, query.about, is_silent)
        self._messenger.send_to(report, query.sender)

    def _query_silence(self, about: str, now_s: float) -> None:
        if now_s - self._queried_at_s.get(about, float("-inf")) < QUERY_INTERVAL_S:
            return
        others = self._ranking.responsive_others()
        if others:
            self._queried_at_s[about] = now_s
            query = SilenceQuery(self._messenger.address, about)
            self._messenger.send_to(query, random.choice(others))
