"""An entry of the list of workers that can't be read hides all others."""

from __future__ import annotations

import functools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import recovery  # noqa: E402
from standins.processes import main  # noqa: E402
from standins.worker import Worker  # noqa: E402

# Valid JSON text whose string holds half of a surrogate pair, as a cut string does: no decoder
# can make Unicode text of it.
UNREADABLE = '{"service":"other","address":"127.0.0.1:9","state":"ready","zone":"kgl-\\ud83d"}'


def find_entries(workers: list[Worker]) -> dict[str, str]:
    """Return the unreadable entry."""
    return {"o-1": UNREADABLE}


main(FOLDER, functools.partial(recovery.play, find_entries=find_entries, at_fault=False))
