"""``bronzerudder standin service``."""

from __future__ import annotations

import pathlib
import sys

from bronzerudder.cli.api import EXIT_FAILED, EXIT_OK, Invocation
from bronzerudder.cli.registry import command


class _StandinService(Invocation):
    def __init__(self, settings: str) -> None:
        self._settings = settings

    def _run(self) -> int:
        import anyio

        from bronzerudder.settings import SettingsError, decode_document
        from bronzerudder.standin.service import ServiceSettings, run_service

        try:
            data = pathlib.Path(self._settings).read_bytes()
        except OSError as error:
            print(f"{self._settings}: {error.strerror}", file=sys.stderr)
            return EXIT_FAILED
        settings = decode_document(data, ServiceSettings)
        if isinstance(settings, SettingsError):
            print(f"{self._settings}: {settings}", file=sys.stderr)
            return EXIT_FAILED
        anyio.run(run_service, settings)
        return EXIT_OK


@command("standin", "service")
def standin_service(settings: str) -> Invocation:
    """Run a stand-in for a plain service, with settings from a JSON file."""
    return _StandinService(str(settings))
