"""Demonstrates streamed answers, a booking that runs once, and an agent killed mid-stream."""

from __future__ import annotations

import sys

import anyio

from bench.harness import Deployment, Shape
from bench.harness.deployment import BOOKING_POOL, CHAT_POOL, build_pool
from bench.harness.load import call_service, expected_text, open_client, stream_completion
from bench.platform_demo import PlatformDemo

STREAM_TOKENS = 40
STEP_TIME_S = 0.05
KILL_AFTER_S = 0.8


class Transcript:
    """Prints each step, and records whether every outcome was right."""

    def __init__(self) -> None:
        self._failed = False

    @property
    def failed(self) -> bool:
        """Whether any outcome was wrong."""
        return self._failed

    def print_step(self, text: str) -> None:
        """Print the step that starts now."""
        print(f"... {text}", flush=True)

    def check(self, text: str, right: bool) -> None:
        """Print an outcome and whether it is right."""
        self._failed = self._failed or not right
        print(f"{'ok ' if right else 'BAD'} {text}", flush=True)


def main() -> int:
    """Run the demonstration; return 0 only if every outcome was right."""
    transcript = Transcript()
    transcript.print_step(
        "starting a platform, 3 engines, 2 services, an agent beside each, 2 entries"
    )
    shape = Shape(
        engines=3, services=2, entries=2, engine={"step_time_s": STEP_TIME_S}, tables=False
    )
    with Deployment(shape) as deployment:
        _set_tables(deployment, transcript)
        deployment.wait_ready()
        anyio.run(_show_stream, deployment, transcript)
        anyio.run(_show_booking, deployment, transcript)
        anyio.run(_show_agent_kill, deployment, transcript)
    transcript.print_step("starting a gateway on stand-ins of the users' platform")
    anyio.run(PlatformDemo(transcript.check).run)
    print("every outcome was right" if not transcript.failed else "some outcome was WRONG")
    return 1 if transcript.failed else 0


def _set_tables(deployment: Deployment, transcript: Transcript) -> None:
    rows = (
        ("pool", CHAT_POOL, build_pool("engine", deployment.engines)),
        ("pool", BOOKING_POOL, build_pool("service", deployment.services)),
        ("route", "chat", deployment.build_route(["/v1/"], CHAT_POOL, True)),
        ("route", "bookings", deployment.build_route(["/bookings"], BOOKING_POOL, False)),
    )
    for kind, name, row in rows:
        path = deployment.write_json(f"{kind}-{name}.json", row)
        platform = f"--platform={deployment.platform.address}"
        completed = deployment.run_cli(kind, "set", name, path, platform)
        transcript.check(
            f"bronzerudder {kind} set {name}: exit {completed.returncode}", not completed.returncode
        )
        if completed.returncode:
            print(completed.stdout, completed.stderr)


async def _show_stream(deployment: Deployment, transcript: Transcript) -> None:
    async with open_client() as client:
        result = await stream_completion(client, deployment.entries[0].address, "hello", 8)
    transcript.check(
        f"streamed completion: {result.outcome}, {result.text.strip()!r}",
        (result.outcome, result.text) == ("done", expected_text("hello", 8)),
    )


async def _show_booking(deployment: Deployment, transcript: Transcript) -> None:
    async with open_client() as client:
        first = await call_service(client, deployment.entries[0].address, "slot 1", "key-1")
        repeated = await call_service(client, deployment.entries[1].address, "slot 1", "key-1")
    transcript.check(f"booking: {first.outcome}, {first.body.decode()}", first.outcome == "done")
    transcript.check(
        f"the same booking through the other entry: {repeated.outcome}, {repeated.body.decode()}",
        (repeated.outcome, repeated.body) == ("done", first.body),
    )
    runs = count_runs(deployment)
    transcript.check(f"runs on record at the services: {runs}", runs == 1)


async def _show_agent_kill(deployment: Deployment, transcript: Transcript) -> None:
    entry = deployment.entries[0].address
    results = {}

    async def stream(prompt: str) -> None:
        results[prompt] = await stream_completion(client, entry, prompt, STREAM_TOKENS)

    transcript.print_step("killing one agent while streams run")
    async with open_client() as client, anyio.create_task_group() as tasks:
        for index in range(6):
            tasks.start_soon(stream, f"question {index}")
        await anyio.sleep(KILL_AFTER_S)
        deployment.engines[0].agent.kill()
    for prompt, result in sorted(results.items()):
        right = (result.outcome, result.text) == ("done", expected_text(prompt, STREAM_TOKENS))
        transcript.check(f"{prompt}: {result.outcome}, {len(result.event_ids)} tokens", right)


def count_runs(deployment: Deployment) -> int:
    """Count the runs that the services have recorded."""
    lines = [line for backend in deployment.services for line in backend.server.read_output()]
    return sum(line["event"] == "run" for line in lines)


if __name__ == "__main__":
    sys.exit(main())
