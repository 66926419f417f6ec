"""What a subcommand returns to the command line."""

from __future__ import annotations

import abc

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class Invocation(abc.ABC):
    """A checked subcommand, run only once all of its arguments have been consumed."""

    @abc.abstractmethod
    def _run(self) -> int:
        """Do the work and return the exit code."""
