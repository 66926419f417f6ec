"""``bronzerudder explain``."""

from __future__ import annotations

import pathlib
import sys

from bronzerudder.cli.api import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Invocation
from bronzerudder.cli.registry import command


class _Explain(Invocation):
    def __init__(self, request_id: str, files: tuple[str, ...]) -> None:
        self._request_id = request_id
        self._files = files

    def _run(self) -> int:
        from bronzerudder.operators.explain import explain, read_lines

        logs = []
        for file in self._files:
            try:
                logs.append(read_lines(pathlib.Path(file).read_bytes()))
            except OSError as error:
                print(f"cannot read {file}: {error.strerror}", file=sys.stderr)
                return EXIT_USAGE
        description = explain(self._request_id, logs)
        if not description:
            print(
                f"no log line of request {self._request_id!r} in {len(logs)} files", file=sys.stderr
            )
            return EXIT_FAILED
        print("\n".join(description))
        return EXIT_OK


@command("explain")
def explain(request_id: str, *files: str) -> Invocation:
    """Show the decisions on a request, from the logs of several processes.

    Parameters
    ----------
    request_id : str
        The request's id.
    files : str
        Log files of the processes.
    """
    return _Explain(str(request_id), tuple(str(file) for file in files))
