"""Keeps to the rates that backend servers name as their limit, together with the other gateways.

A limit holds for all gateways together. So one of them, which all agree on by the server's name,
issues permits for single requests at that rate, and the others ask it for a permit before they
send. Permits go where the requests are, and no gateway needs to know what the others send.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Iterable, Sequence

from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.gateway.peer_liveness import ANSWER_TIMEOUT_S, RECENTLY_HEARD_S, PeerLiveness
from bronzerudder.gateway.permit_source import PermitSource
from bronzerudder.gateway.server_gate import ServerGate
from bronzerudder.observability.event_log import EventLog
from bronzerudder.peers.messages import (
    GatewayCheck,
    PermitAnswer,
    PermitRequest,
    ServerLimit,
    ServerLimitMessage,
    ServerLimits,
    SilenceQuery,
)
from bronzerudder.peers.messenger import GatewayMessenger
from bronzerudder.policy.limits.bucket import MAX_WAIT_S, TokenBucket
from bronzerudder.policy.routing import SendGate
from bronzerudder.policy.server_limits import (
    MAX_INTRODUCED,
    MAX_RESERVE_S,
    MIN_RATE_RPS,
    GatewayRanking,
    LimitStatement,
    PermitDecision,
    PermitIssuer,
    ServerLimitLedger,
    estimate_wait_s,
)

EVEN_SHARE_S = 1.0
"""Time for which a gateway keeps to an even share after it found no issuer."""
DEFAULT_GATEWAY_COUNT = 8
"""Gateways assumed to share a limit while their number is not known."""
UNHEARD_S = 2.0
"""Time without an answer after which a request finds out whether a limit still holds."""
ANNOUNCE_INTERVAL_S = 0.25
EXCHANGE_INTERVAL_S = 1.0
EXCHANGE_PEERS = 2
"""A gateway that starts, was suspended or lost messages learns of all limits within seconds."""
MAX_LIMITS_PER_MESSAGE = 12
"""Keeps a message below 1,300 bytes, which fit in one packet."""


class ServerLimitKeeper(PermitSource):
    """The limits that backend servers have named, and this gateway's permits.

    Parameters
    ----------
    messenger : GatewayMessenger
        Sends messages to the other gateways.
    log : EventLog
        Takes a line for each limit that begins, changes or ends, and each change of an issuer.
    metrics : GatewayMetrics
        Counts permits.
    """

    def __init__(self, messenger: GatewayMessenger, log: EventLog, metrics: GatewayMetrics) -> None:
        self._messenger = messenger
        self._log = log
        self._metrics = metrics
        self._ledger = ServerLimitLedger()
        self._ranking = GatewayRanking(messenger.address)
        self._peers = PeerLiveness(messenger, self._ranking, log, metrics)
        self._issuer = PermitIssuer()
        self._gates: dict[str, ServerGate] = {}
        self._limited: list[str] = []
        self._next_number = 0
        self._asked: dict[int, tuple[ServerGate, str, float]] = {}
        self._announced_at_s: dict[str, float] = {}
        self._to_announce: set[str] = set()
        self._exchanged_at_s = 0.0

    @property
    def has_limits(self) -> bool:
        """Whether any backend server has a limit."""
        return bool(self._limited)

    def gate(self, server: str, service: str) -> ServerGate:
        """Return the gate of a start of a backend server."""
        gate = self._gates.get(server)
        if gate is None:
            gate = ServerGate(server, service, self._ledger.rate_rps(server))
            self._gates[server] = gate
        return gate

    def forget(self, server: str) -> None:
        """Drop all that is known of a start of a backend server that is gone."""
        gate = self._gates.pop(server, None)
        if gate is not None:
            gate.rate_rps = None
        self._ledger.forget(server)
        self._count_limited()
        self._issuer.forget(server)
        self._ranking.forget(server)
        self._announced_at_s.pop(server, None)
        self._to_announce.discard(server)

    def set_gateways(self, addresses: Iterable[str]) -> None:
        """Replace the gateways that the registry lists."""
        self._ranking.set_listed(addresses, time.monotonic())

    def find_issuer(self, server: str) -> str:
        """Return the gateway that issues the permits of a backend server."""
        return self._ranking.find_issuer(server)

    def record_answer(
        self, server: str, rate_rps: float | None, asked_at_s: float, request_id: str
    ) -> None:
        """Record what the head of an answer that has just arrived says of its server's limit.

        Parameters
        ----------
        server : str
            The start of the backend server.
        rate_rps : float or None
            Limit in requests per second; None if the answer names none.
        asked_at_s : float
            Monotonic time at which the request was sent.
        request_id : str
            Request that was answered.
        """
        if server not in self._gates:
            return
        now_s = time.monotonic()
        if self._record(server, LimitStatement(rate_rps, asked_at_s, now_s), request_id, ""):
            self._announce(server, now_s)

    def record_malformed(self, server: str, value: str, request_id: str) -> None:
        """Record a limit that is no valid rate; the limit in force stays."""
        self._log.state(
            "backend server limit malformed", instance=server, value=value, answer_to=request_id
        )

    def describe(self, server: str) -> dict[str, object]:
        """Return log fields that tell which limit a backend server has; empty without one."""
        statement = self._ledger.statements.get(server)
        gate = self._gates.get(server)
        if statement is None or statement.rate_rps is None or gate is None:
            return {}
        return {
            "limit_rps": statement.rate_rps,
            "limit_age_s": round(time.monotonic() - statement.heard_at_s, 2),
            "limit_gateways": gate.wallet.gateways,
            "limit_issuer": gate.issuer,
        }

    def request_permits(self, gates: Sequence[SendGate], count: int) -> None:
        """Ask for permits until `count` of them are held or asked for."""
        gates = [gate for gate in gates if isinstance(gate, ServerGate)]
        now_s = time.monotonic()
        self._expire(now_s)
        missing = count - sum(gate.wallet.pending(now_s) for gate in gates)
        ordered = sorted(gates, key=lambda gate: (gate.wallet.next_at_s, random.random()))
        while missing > 0:
            askable = [gate for gate in ordered if gate.wallet.may_ask(now_s)][:missing]
            if not askable:
                return
            for gate in askable:
                self._request_permit(gate, now_s)
            missing -= len(askable)

    def request_available(self, gates: Sequence[SendGate], only_unheard: bool) -> SendGate | None:
        """Ask for a permit that is probably available now; return its backend server's gate."""
        now_s = time.monotonic()
        available = []
        for gate in gates:
            if not isinstance(gate, ServerGate) or gate.wallet.pending(now_s):
                continue
            if not gate.wallet.may_ask(now_s) or gate.wallet.next_at_s > now_s:
                continue
            statement = self._ledger.statements.get(gate.server)
            if statement is None:
                continue
            if only_unheard and now_s - statement.heard_at_s < UNHEARD_S:
                continue
            available.append(gate)
        if not available:
            return None
        gate = random.choice(available)
        self.request_permits([gate], 1)
        return gate

    def estimate_wait_s(self, gates: Sequence[SendGate], ahead: int) -> float:
        """Estimate the time until a permit is left behind `ahead` other requests, in seconds."""
        now_s = time.monotonic()
        outlooks = [gate.outlook(now_s) for gate in gates if isinstance(gate, ServerGate)]
        return estimate_wait_s(outlooks, ahead, now_s)

    def describe_limits(self, gates: Sequence[SendGate]) -> str:
        """Describe the limits of several backend servers, for the reason of a refusal."""
        limited = [gate for gate in gates if isinstance(gate, ServerGate)]
        total_rps = sum(gate.rate_rps or 0.0 for gate in limited)
        gateways = max((gate.wallet.gateways for gate in limited), default=1)
        return (
            f"{len(limited)} backend servers accept {total_rps:.2f} requests per second together,"
            f" shared by {gateways} gateways"
        )

    def on_message(self, message: ServerLimitMessage) -> None:
        """Handle a message of another gateway."""
        now_s = time.monotonic()
        self._expire(now_s)
        if isinstance(message, ServerLimits):
            self._peers.record_heard(message.sender, now_s)
            for limit in message.limits:
                self._learn(limit, message.sender, now_s)
        elif isinstance(message, PermitRequest):
            self._peers.record_heard(message.sender, now_s)
            self._learn(message.limit, message.sender, now_s)
            self._answer(message, now_s)
        elif isinstance(message, PermitAnswer):
            self._peers.record_heard(message.sender, now_s)
            self._learn(message.limit, message.sender, now_s)
            self._on_answer(message, now_s)
        elif isinstance(message, GatewayCheck):
            self._peers.record_heard(message.sender, now_s)
            if message.wants_reply:
                reply = GatewayCheck(self._messenger.address, False)
                self._messenger.send_to(reply, message.sender)
        elif isinstance(message, SilenceQuery):
            self._peers.record_heard(message.sender, now_s)
            self._peers.report_silence(message, now_s)
        else:
            self._peers.record_heard(message.sender, now_s)
            if message.is_silent:
                self._peers.confirm_silent([message.about], now_s)

    def record_peer(self, address: str) -> None:
        """Record that another gateway was heard."""
        self._peers.record_heard(address, time.monotonic())

    def maintain(self) -> None:
        """Repeat what may have been lost, and check the gateways that were passed over."""
        now_s = time.monotonic()
        self._expire(now_s)
        for server in list(self._to_announce):
            self._announce(server, now_s)
        for server in self._issuer.expire(now_s):
            self._ranking.forget(server)
        limited = self._limited
        if limited and now_s - self._exchanged_at_s >= EXCHANGE_INTERVAL_S:
            self._exchanged_at_s = now_s
            chosen = random.sample(limited, min(MAX_LIMITS_PER_MESSAGE, len(limited)))
            limits = [self._encode(server, now_s) for server in chosen]
            message = ServerLimits(self._messenger.address, limits)
            self._messenger.send_to_some(message, EXCHANGE_PEERS)

    def _record(self, server: str, statement: LimitStatement, request_id: str, sender: str) -> bool:
        before_rps = self._ledger.rate_rps(server)
        if not self._ledger.record(server, statement):
            return False
        self._log.state(
            "backend server limit changed",
            instance=server,
            service=self._gates[server].service,
            limit_rps=statement.rate_rps,
            before_rps=before_rps,
            answer_to=request_id,
            sender=sender,
            age_s=round(time.monotonic() - statement.heard_at_s, 3),
        )
        self._count_limited()
        gate = self._gates[server]
        gate.rate_rps = statement.rate_rps
        if statement.rate_rps is None:
            self._issuer.forget(server)
            gate.wallet.clear()
            gate.even_share = None
            gate.on_permit()
        return True

    def _count_limited(self) -> None:
        self._limited = [
            server
            for server, statement in self._ledger.statements.items()
            if statement.rate_rps is not None
        ]
        self._metrics.limited_servers.set(len(self._limited))

    def _learn(self, limit: ServerLimit, sender: str, now_s: float) -> None:
        if limit.server not in self._gates:
            # Not listed here: gone already, or not read yet.
            return
        if not _is_valid(limit):
            return
        asked_at_s = now_s - limit.asked_age_s
        statement = LimitStatement(limit.rate_rps, asked_at_s, now_s - limit.heard_age_s)
        self._record(limit.server, statement, "", sender)

    def _announce(self, server: str, now_s: float) -> None:
        if now_s - self._announced_at_s.get(server, float("-inf")) < ANNOUNCE_INTERVAL_S:
            self._to_announce.add(server)
            return
        self._to_announce.discard(server)
        self._announced_at_s[server] = now_s
        limits = [self._encode(server, now_s)]
        self._messenger.send_to_all(ServerLimits(self._messenger.address, limits))

    def _encode(self, server: str, now_s: float) -> ServerLimit:
        statement = self._ledger.statements.get(server)
        if statement is None:
            return ServerLimit(server, None, 0.0, 0.0)
        return ServerLimit(
            server,
            statement.rate_rps,
            now_s - statement.asked_at_s,
            now_s - statement.heard_at_s,
        )

    def _request_permit(self, gate: ServerGate, now_s: float) -> None:
        rate_rps = gate.rate_rps
        if rate_rps is None:
            return
        own = self._messenger.address
        if not self._ranking.is_known or now_s < gate.even_share_until_s:
            self._take_even_share(gate, rate_rps, now_s)
            return
        issuer = self._ranking.find_issuer(gate.server)
        self._peers.check_silent(gate.server, issuer, now_s)
        if issuer != gate.issuer:
            self._log.state(
                "permit issuer changed",
                instance=gate.server,
                service=gate.service,
                issuer=issuer,
            )
            gate.issuer = issuer
        if issuer == own and not self._peers.may_issue_alone(gate.server, now_s):
            self._take_even_share(gate, rate_rps, now_s)
            return
        if issuer == own:
            decision = self._issuer.issue(gate.server, rate_rps, own, now_s)
            self._peers.greet(gate.server, now_s)
            self._record_decision(gate, decision, now_s)
            return
        self._next_number += 1
        self._asked[self._next_number] = (gate, issuer, now_s)
        gate.wallet.outstanding[self._next_number] = now_s
        limit = self._encode(gate.server, now_s)
        self._messenger.send_to(PermitRequest(own, self._next_number, limit), issuer)

    def _take_even_share(self, gate: ServerGate, rate_rps: float, now_s: float) -> None:
        gateways = len(self._ranking.members) if self._ranking.is_known else DEFAULT_GATEWAY_COUNT
        share_rps = max(MIN_RATE_RPS, rate_rps) / gateways
        if gate.even_share is None:
            gate.even_share = TokenBucket(share_rps)
            # All gateways may begin at the same time, so none has a token at first.
            gate.even_share.take(now_s)
        elif gate.even_share.rate != share_rps:
            gate.even_share.set_rate(share_rps, now_s)
        delay_s = gate.even_share.reserve(MAX_RESERVE_S, now_s)
        next_delay_s = gate.even_share.wait_s(now_s)
        decision = PermitDecision(delay_s is not None, delay_s or 0.0, next_delay_s, gateways)
        self._record_decision(gate, decision, now_s)

    def _record_decision(self, gate: ServerGate, decision: PermitDecision, now_s: float) -> None:
        self._metrics.permits.labels("granted" if decision.granted else "denied").inc()
        gate.wallet.record(decision, now_s)

    def _answer(self, request: PermitRequest, now_s: float) -> None:
        server = request.limit.server
        own = self._messenger.address
        rate_rps = self._ledger.rate_rps(server)
        if rate_rps is None:
            # Not listed here yet, or this gateway has heard of the limit's end earlier.
            rate_rps = request.limit.rate_rps
        issuer = self._ranking.find_issuer(server)
        self._peers.check_silent(server, issuer, now_s)
        decision = PermitDecision(False, 0.0, ANSWER_TIMEOUT_S, 1)
        named_issuer = ""
        if issuer == own:
            # The sender would have asked those that rank before, so they are silent to both.
            self._peers.confirm_silent(self._ranking.silent_before(server, own), now_s)
            if rate_rps is not None:
                decision = self._issuer.issue(server, rate_rps, request.sender, now_s)
            self._peers.greet(server, now_s)
        elif self._ranking.was_heard_within(issuer, RECENTLY_HEARD_S, now_s):
            named_issuer = issuer
        else:
            self._peers.check(issuer, ANSWER_TIMEOUT_S, now_s)
        limit = self._encode(server, now_s) if server in self._gates else request.limit
        answer = PermitAnswer(own, request.number, limit, named_issuer, *decision)
        self._messenger.send_to(answer, request.sender)

    def _on_answer(self, answer: PermitAnswer, now_s: float) -> None:
        asked = self._asked.pop(answer.number, None)
        if asked is None:
            return
        gate, _, _ = asked
        if gate.wallet.outstanding.pop(answer.number, None) is None or not gate.is_limited:
            return
        if answer.issuer:
            if self._ranking.is_silent(answer.issuer):
                # The issuer serves others, but does not respond to this gateway.
                gate.even_share_until_s = now_s + EVEN_SHARE_S
            else:
                self._peers.introduce(answer.issuer, now_s)
            gate.on_permit()
            return
        decision = PermitDecision(
            answer.granted,
            min(MAX_RESERVE_S, max(0.0, answer.delay_s)),
            min(MAX_WAIT_S, max(0.0, answer.next_delay_s)),
            min(MAX_INTRODUCED, answer.gateways),
        )
        self._record_decision(gate, decision, now_s)
        gate.on_permit()

    def _expire(self, now_s: float) -> None:
        """Give up requests for permits that were not answered in time."""
        for number, (gate, issuer, asked_at_s) in list(self._asked.items()):
            if now_s - asked_at_s < ANSWER_TIMEOUT_S:
                continue
            del self._asked[number]
            gate.wallet.outstanding.pop(number, None)
            self._peers.record_unanswered(issuer, asked_at_s, now_s)
        self._peers.expire(now_s)


def _is_valid(limit: ServerLimit) -> bool:
    """Whether the rate and the ages that a message states are possible."""
    values = (limit.rate_rps or 0.0, limit.asked_age_s, limit.heard_age_s)
    return all(0.0 <= value < math.inf for value in values)
