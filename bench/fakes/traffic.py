"""Seeded traffic: Poisson arrivals of requests that share prefixes within a workspace."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from bench.fakes.lockstep import Job


class TrafficShape(NamedTuple):
    """Distribution of the generated requests.

    Parameters
    ----------
    workspaces : tuple of (str, float)
        Names and shares of the traffic.
    prefixes : int
        Prefixes of each workspace; the popularity of the n-th is proportional to 1/n.
    prefix_share : float
        Fraction of the requests that start with a shared prefix.
    prompt_tokens, prefix_tokens, output_tokens : int
        Mean sizes.
    spread : float
        Standard deviation of the logarithm of sizes.
    deadline_s : float
        Time from arrival to deadline, in seconds.
    entry_shares : tuple of float
        Relative share of the traffic that each entry receives.
    """

    workspaces: tuple[tuple[str, float], ...] = (
        ("w-1", 0.3),
        ("w-2", 0.25),
        *((f"w-{index}", 0.45 / 8) for index in range(3, 11)),
    )
    prefixes: int = 12
    prefix_share: float = 0.7
    prompt_tokens: int = 900
    prefix_tokens: int = 600
    output_tokens: int = 120
    spread: float = 0.6
    deadline_s: float = 20.0
    entry_shares: tuple[float, ...] = (1.0, 1.0, 1.0)


def make_jobs(
    shape: TrafficShape,
    rate_rps: Callable[[float], float],
    max_rate_rps: float,
    end_s: float,
    seed: int,
) -> Iterator[Job]:
    """Yield requests in order of arrival, at a rate of at most `max_rate_rps` that may change."""
    generator = random.Random(seed)
    names = [name for name, _ in shape.workspaces]
    shares = [share for _, share in shape.workspaces]
    popularity = [1.0 / (index + 1) for index in range(shape.prefixes)]
    now_s = 0.0
    for job_id in itertools.count():
        now_s += generator.expovariate(max_rate_rps)
        if now_s >= end_s:
            return
        if generator.random() * max_rate_rps > rate_rps(now_s):
            continue
        workspace = generator.choices(names, shares)[0]
        prefix = ""
        if generator.random() < shape.prefix_share:
            number = generator.choices(range(shape.prefixes), popularity)[0]
            prefix = f"{workspace}/{number}"
        own_tokens = _draw_size(generator, shape.prompt_tokens - shape.prefix_tokens, shape)
        yield Job(
            job_id,
            workspace,
            prefix,
            shape.prefix_tokens if prefix else 0,
            own_tokens + shape.prefix_tokens,
            _draw_size(generator, shape.output_tokens, shape),
            now_s,
            now_s + shape.deadline_s,
            generator.choices(range(len(shape.entry_shares)), shape.entry_shares)[0],
        )


def _draw_size(generator: random.Random, mean: int, shape: TrafficShape) -> int:
    centre = math.log(mean) - shape.spread**2 / 2
    return max(1, round(generator.lognormvariate(centre, shape.spread)))
