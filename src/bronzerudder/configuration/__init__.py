"""Turns the rows that operators edit into one configuration revision in force on all processes.

Import the sources and the peer service from their own modules, which load gRPC.
"""

from __future__ import annotations

from bronzerudder.configuration.api import ConfigurationSource
from bronzerudder.configuration.errors import ConfigurationError, ConfigurationErrorKind
from bronzerudder.configuration.matching import Match
from bronzerudder.configuration.rows import Decision, Edit, Row, RowKey
from bronzerudder.configuration.shared import SharedConfiguration
from bronzerudder.configuration.snapshot import EMPTY_SNAPSHOT, Snapshot, apply_decisions

__all__ = [
    "EMPTY_SNAPSHOT",
    "ConfigurationError",
    "ConfigurationErrorKind",
    "ConfigurationSource",
    "Decision",
    "Edit",
    "Match",
    "Row",
    "RowKey",
    "SharedConfiguration",
    "Snapshot",
    "apply_decisions",
]
