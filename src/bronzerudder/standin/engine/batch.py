"""Continuous batching: every running stream gets one token per step."""

from __future__ import annotations

import collections
from typing import NamedTuple

import anyio
import xxhash

VOCABULARY = (
    "the",
    "slot",
    "on",
    "Friday",
    "is",
    "free",
    "please",
    "bring",
    "your",
    "score",
    "and",
    "a",
)
PREFIX_LENGTH = 64
CACHED_PREFIXES = 256


class Prompt(NamedTuple):
    """A request to generate tokens; ``first_token`` is the index at which to start."""

    request_id: str
    text: str
    max_tokens: int
    first_token: int


class Stream:
    """Tokens of one request, kept so that a reader can reconnect."""

    def __init__(self, prompt: Prompt) -> None:
        self._prompt = prompt
        self._produced = prompt.first_token
        self._changed = anyio.Event()
        self._cancelled = False

    @property
    def prompt(self) -> Prompt:
        """Request that the tokens answer."""
        return self._prompt

    @property
    def done(self) -> bool:
        """Whether the last token has been generated, or the stream was cancelled."""
        return self._cancelled or self._produced >= self._prompt.max_tokens

    @property
    def cancelled(self) -> bool:
        """Whether the stream was cancelled."""
        return self._cancelled

    @property
    def produced(self) -> int:
        """Tokens generated so far, those before ``first_token`` included."""
        return self._produced

    def advance(self) -> None:
        """Generate the next token."""
        self._produced += 1
        self._notify()

    def cancel(self) -> None:
        """Stop generating."""
        self._cancelled = True
        self._notify()

    async def wait_beyond(self, token: int) -> None:
        """Wait until more than ``token`` tokens are generated, or the stream is done."""
        while self._produced <= token and not self.done:
            await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


class ContinuousBatch:
    """Runs streams in steps of a fixed time, at most ``max_batch`` at once.

    Parameters
    ----------
    step_time_s, prefill_time_per_token_s : float
        Duration of one step, and of the prefill of one prompt token that is not cached.
    max_batch : int
        Maximum number of streams in one step.
    """

    def __init__(self, step_time_s: float, prefill_time_per_token_s: float, max_batch: int) -> None:
        self._step_time_s = step_time_s
        self._prefill_time_per_token_s = prefill_time_per_token_s
        self._max_batch = max_batch
        self._waiting: collections.deque[Stream] = collections.deque()
        self._running: list[Stream] = []
        self._arrived = anyio.Event()
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._stalled_until = 0.0

    @property
    def running(self) -> int:
        """Streams in the current step."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Streams that wait for a place in the batch."""
        return len(self._waiting)

    @property
    def outstanding_tokens(self) -> int:
        """Tokens still to generate, over all streams."""
        streams = [*self._running, *self._waiting]
        return sum(stream.prompt.max_tokens - stream.produced for stream in streams)

    @property
    def cached_prefixes(self) -> list[str]:
        """Prefixes in the cache, least recently used first."""
        return list(self._prefixes)

    def add(self, stream: Stream) -> None:
        """Queue a stream."""
        self._waiting.append(stream)
        self._arrived.set()

    def stall(self, seconds: float) -> None:
        """Run no steps for a number of seconds."""
        self._stalled_until = anyio.current_time() + seconds

    async def run(self) -> None:
        """Run steps until cancelled; wait while there are no streams."""
        while True:
            if not self._running and not self._waiting:
                self._arrived = anyio.Event()
                await self._arrived.wait()
            prefill_s = self._fill()
            await anyio.sleep(self._step_time_s + prefill_s)
            await anyio.sleep(max(0.0, self._stalled_until - anyio.current_time()))
            self._run_step()

    def _fill(self) -> float:
        prefill_s = 0.0
        while self._waiting and len(self._running) < self._max_batch:
            stream = self._waiting.popleft()
            prefill_s += self._prefill_s(stream.prompt.text)
            self._running.append(stream)
        return prefill_s

    def _prefill_s(self, text: str) -> float:
        prefix = text[:PREFIX_LENGTH]
        tokens = len(text.split())
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            tokens = max(0, tokens - len(prefix.split()))
        self._prefixes[prefix] = None
        if len(self._prefixes) > CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return tokens * self._prefill_time_per_token_s

    def _run_step(self) -> None:
        for stream in self._running:
            if not stream.done:
                stream.advance()
        self._running = [stream for stream in self._running if not stream.done]


def token_text(prompt_text: str, index: int) -> str:
    """Return token ``index`` of the answer, the same on every engine."""
    return VOCABULARY[xxhash.xxh64_intdigest(f"{prompt_text}:{index}".encode()) % len(VOCABULARY)]
