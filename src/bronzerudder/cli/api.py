"""Return type and exit codes of subcommands."""

from __future__ import annotations

import abc

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class Invocation(abc.ABC):
    """A parsed subcommand; runs only after all of its arguments have been consumed."""

    @abc.abstractmethod
    def _run(self) -> int:
        """Run the subcommand and return its exit code."""
