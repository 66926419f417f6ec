"""Entry point of the ``bronzerudder`` command."""

from __future__ import annotations

import contextlib
import io
import sys

import fire
from fire.core import FireExit

from bronzerudder.cli.api import EXIT_OK, EXIT_USAGE, Invocation
from bronzerudder.cli.registry import load_commands


def main(arguments: list[str] | None = None) -> int:
    """Parse the arguments, run the subcommand, and return its exit code."""
    words = sys.argv[1:] if arguments is None else arguments
    parsed = _parse(words)
    if isinstance(parsed, int):
        return parsed
    return parsed._run()


def _parse(words: list[str]) -> Invocation | int:
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            result = fire.Fire(load_commands(), words, "bronzerudder", serialize=_hide_invocation)
    except FireExit as stop:
        return _report(stop.code, errors.getvalue(), words)
    if isinstance(result, Invocation):
        return result
    return EXIT_OK


def _hide_invocation(result: object) -> object:
    return None if isinstance(result, Invocation) else result


def _report(code: int, text: str, words: list[str]) -> int:
    if code == EXIT_OK:
        print(text, end="")
        return EXIT_OK
    print(f"bronzerudder {' '.join(words)}: {_first_error(text)}", file=sys.stderr)
    return EXIT_USAGE


def _first_error(text: str) -> str:
    for line in text.splitlines():
        if line.startswith("ERROR: "):
            return line.removeprefix("ERROR: ")
    return "invalid arguments; see --help"


if __name__ == "__main__":
    sys.exit(main())
