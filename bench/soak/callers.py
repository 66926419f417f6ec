"""Callers of the soak, which send requests continuously and record the results."""

from __future__ import annotations

import os.path
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
import xxhash

from bench.harness.fleet import HOST, KEYS
from bronzerudder.http1 import ClientPool, Exchange, HttpError
from bronzerudder.platform import wire
from bronzerudder.standin.fleet.answer_script import EVENTS, event_of, plain_body

KINDS = ("read", "book", "stream", "once")
DEADLINE_S = 3.0
PAUSE_S = (0.01, 0.12)
PART_TOKENS = 200
ANSWER_TOKENS = 40
INCOMPLETE = 0
"""Status of a result without a complete answer."""
EVENT_PREFIX = b"id: "


class Workload(NamedTuple):
    """What a caller requests.

    Parameters
    ----------
    service : str
        Service that serves it; empty for those of the fleet.
    host : str
        Host of its routes.
    kinds : tuple of str
        Kinds of its requests; also the paths of its routes.
    parts : tuple of str
        Ids of the parts of its prompts, without the last part, which differs for each request.
    crashes : bool
        Whether its requests crash backend servers.
    """

    service: str = ""
    host: str = HOST
    kinds: tuple[str, ...] = KINDS
    parts: tuple[str, ...] = ()
    crashes: bool = False


GENERAL = Workload()
ANSWERS = Workload("answers", "answers.example")
PROMPTS = Workload("prompts", "prompts.example", ("stream",), ("5c1e07a2", "91bd3f06"))


class Result(NamedTuple):
    """Result of one request.

    Parameters
    ----------
    request_id, kind, workspace, gateway : str
        The request, and the gateway that it was sent to.
    sent_at_s, ended_at_s : float
        Monotonic times.
    sent : bool
        Whether the complete request was sent.
    status : int
        Status of the answer; `INCOMPLETE` without a complete one.
    answers_to : str
        Request id in the answer.
    fault : str
        Defect of the answer itself; empty if there is none.
    workload : Workload
        What the caller requests.
    """

    request_id: str
    kind: str
    workspace: str
    gateway: str
    sent_at_s: float
    ended_at_s: float
    sent: bool
    status: int
    answers_to: str
    fault: str
    workload: Workload = GENERAL


class GatewayEndpoint(NamedTuple):
    """A gateway's address for callers, and whether the balancer sends new callers to it."""

    address: str
    in_rotation: bool


class Caller:
    """Sends requests one after the other, over keep-alive connections.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    gateways : callable
        Returns the gateways that are running, by name.
    generator : random.Random
        Draws requests.
    results : list of Result
        List that results are appended to.
    workload : Workload
        What it requests.
    """

    def __init__(
        self,
        name: str,
        gateways: Callable[[], dict[str, GatewayEndpoint]],
        generator: random.Random,
        results: list[Result],
        workload: Workload = GENERAL,
    ) -> None:
        self._workload = workload
        self._name = name
        self._gateways = gateways
        self._generator = generator
        self._results = results
        self._pool = ClientPool()
        self._number = 0
        self._current_gateway = ""

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await anyio.sleep(self._generator.uniform(*PAUSE_S))
            gateways = self._gateways()
            if not gateways:
                continue
            # Callers keep using open connections until the gateway's process has exited.
            if self._current_gateway not in gateways or self._generator.random() < 0.05:
                eligible = sorted(name for name, item in gateways.items() if item.in_rotation)
                if not eligible:
                    continue
                self._current_gateway = self._generator.choice(eligible)
            await self._call(self._current_gateway, gateways[self._current_gateway])

    async def _call(self, gateway: str, endpoint: GatewayEndpoint) -> None:
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        kind = self._generator.choice(self._workload.kinds)
        workspace = self._generator.choice(sorted(KEYS))
        sent_at_s = time.monotonic()
        sent, status, answers_to, fault = False, INCOMPLETE, "", ""
        with anyio.move_on_after(DEADLINE_S):
            exchange = await self._pool.open(endpoint.address)
            if isinstance(exchange, HttpError):
                self._current_gateway = ""
                return
            if not exchange.reused and not endpoint.in_rotation:
                exchange.discard()
                self._current_gateway = ""
                return
            try:
                headers = _headers(request_id, KEYS[workspace], self._workload)
                path = f"/{kind}/{request_id}".encode()
                send_error = await exchange.send(b"POST", path, headers, request_id.encode())
                sent = send_error is None
                head = await exchange.read_head()
                if not isinstance(head, HttpError):
                    answers_to = (head.header(wire.REQUEST_ID) or b"").decode()
                    body, whole = await _read_body(exchange)
                    fault = find_fault(request_id, kind, head.status, body, whole, self._workload)
                    if whole:
                        status = head.status
                        exchange.release()
            finally:
                exchange.discard()
        if status == INCOMPLETE:
            self._current_gateway = ""
        self._results.append(
            Result(
                request_id,
                kind,
                workspace,
                gateway,
                sent_at_s,
                time.monotonic(),
                sent,
                status,
                answers_to,
                fault,
                self._workload,
            )
        )


def _headers(request_id: str, key: str, workload: Workload) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"host", workload.host.encode()),
        (wire.API_KEY, key.encode()),
        (wire.REQUEST_ID, request_id.encode()),
        (wire.DEADLINE_MS, str(int(DEADLINE_S * 1000)).encode()),
    ]
    if workload.parts:
        parts = [*workload.parts, f"{xxhash.xxh32_intdigest(request_id.encode()):08x}"]
        prompt = ",".join(f"{part}:{PART_TOKENS}" for part in parts)
        headers.append((wire.PROMPT_PARTS, prompt.encode()))
        headers.append((wire.TOKENS, f"{PART_TOKENS * len(parts)},{ANSWER_TOKENS}".encode()))
    return headers


async def _read_body(exchange: Exchange) -> tuple[bytes, bool]:
    """Read a body; return it as far as it came, and whether it is complete."""
    chunks = []
    while True:
        chunk = await exchange.read_body()
        if not isinstance(chunk, bytes):
            return b"".join(chunks), chunk is None
        chunks.append(chunk)


def find_fault(
    request_id: str, kind: str, status: int, body: bytes, whole: bool, workload: Workload
) -> str:
    """Return the defect of a successful answer that is truncated or out of order, or ''."""
    if status != 200:
        return ""
    if workload.service == ANSWERS.service:
        return _find_foreign_bytes(request_id.encode(), kind, body, whole)
    if not whole:
        return ""
    if kind in ("read", "book"):
        return "" if body.startswith(b"from ") else f"unexpected body {body[:40]!r}"
    ids = [
        int(line.removeprefix(EVENT_PREFIX))
        for line in body.split(b"\n")
        if line.startswith(EVENT_PREFIX)
    ]
    if not ids or ids != list(range(1, ids[-1] + 1)):
        return f"event ids {ids} are not consecutive from 1"
    return "" if body.endswith(b"\n\n") else "the stream ends inside an event"


def _find_foreign_bytes(request_id: bytes, kind: str, body: bytes, whole: bool) -> str:
    """Return how a body differs from the start, or the whole, of the answer to its request."""
    expected = plain_body(request_id)
    if kind in ("stream", "once"):
        expected = b"".join(event_of(request_id, number) for number in range(1, EVENTS + 1))
    if body == expected or (not whole and expected.startswith(body)):
        return ""
    matching = len(os.path.commonprefix([body, expected]))
    end = "complete" if whole else "cut"
    return f"after {matching} bytes of its own answer, {end}, came {body[matching:][:80]!r}"
