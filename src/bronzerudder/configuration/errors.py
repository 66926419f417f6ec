"""Defines the errors of the configuration layer."""

from __future__ import annotations

import enum
from typing import NamedTuple

from bronzerudder.platform import StoreError


class ConfigurationErrorKind(enum.Enum):
    """What went wrong with reading or recording the configuration."""

    UNAVAILABLE = "unavailable"
    SUPERSEDED = "superseded"
    CORRUPT = "corrupt"


class ConfigurationError(NamedTuple):
    """A failed step, returned in place of its result.

    ``SUPERSEDED`` means that another process has recorded a newer root in the meantime.
    """

    kind: ConfigurationErrorKind
    reason: str

    @classmethod
    def from_store(cls, error: StoreError) -> ConfigurationError:
        """Convert an error of the platform's store."""
        return cls(ConfigurationErrorKind.UNAVAILABLE, error.reason)
