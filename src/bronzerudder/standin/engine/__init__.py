"""A stand-in model engine: batches continuously, streams tokens, resumes and cancels streams."""

from __future__ import annotations

from bronzerudder.standin.engine.app import EngineApp
from bronzerudder.standin.engine.batch import ContinuousBatch
from bronzerudder.standin.engine.settings import EngineSettings

__all__ = ["ContinuousBatch", "EngineApp", "EngineSettings"]
