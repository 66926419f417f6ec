"""Runs an operator's session of commands and compares its output with a golden file."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

import anyio
from approvaltests import Options, verify

from bronzerudder.cli.main import main
from tests.configuration.processes import host
from tests.configuration.rows import pool, route
from tests.platform.serving import serve_platform

FILES = {
    "pool.json": pool("a", "b"),
    "route.json": route(),
    "heavy.json": route(weight=5),
    "no-pool.json": route("q"),
    "bad-weight.json": route(weight=0),
    "typo.json": route(deadline_seconds=5),
}
SESSION = (
    "route list",
    "route set r route.json",
    "route get r",
    "pool set p pool.json --wait",
    "route list",
    "route set r heavy.json --if-revision 1 --wait --json",
    "route set r heavy.json --if-revision 1",
    "route set r route.json --dry-run",
    "route set r no-pool.json --dry-run",
    "route set r no-pool.json",
    "route get r",
    "route set r bad-weight.json",
    "route set r typo.json",
    "route set r absent.json",
    "route set r route.json --if-revision later",
    "route set r heavy.json",
    "pool delete p",
    "pool list",
    "status",
    "route delete r --json",
    "pool list --json",
    "route delete r",
    "route history r",
    "route get r",
    "status --json",
)


class SessionTest(unittest.IsolatedAsyncioTestCase):
    async def run_command(self, words):
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = await anyio.to_thread.run_sync(main, words)
        return code, output.getvalue(), errors.getvalue()

    async def test_the_session_is_as_approved(self):
        lines = []
        with tempfile.TemporaryDirectory() as directory:
            folder = pathlib.Path(directory)
            for name, value in FILES.items():
                (folder / name).write_bytes(value)
            async with serve_platform() as platform, host(platform.address, "entry") as entry:
                platform.app.instances.set(
                    {
                        "name": "entry1",
                        "role": "entry",
                        "address": entry.address,
                        "failure_domain": "fd1",
                        "state": "live",
                    }
                )
                for command in SESSION:
                    words = command.replace("set r ", f"set r {folder}/")
                    words = words.replace("set p ", f"set p {folder}/").split()
                    result = await self.run_command([*words, "--platform", platform.address])
                    code, output, errors = result
                    lines.append(f"$ bronzerudder {command}\n{output}{errors}= {code}\n")
                    self.assertLessEqual(len(errors.splitlines()), 1)
                    if "--json" in command:
                        json.loads(output)
                session = "\n".join(lines).replace(f"{folder}/", "").replace(entry.address, "HOST")
        verify(session, options=Options().with_scrubber(str))


if __name__ == "__main__":
    unittest.main()
