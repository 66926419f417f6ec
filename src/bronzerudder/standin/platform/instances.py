"""An instance list that shows each change after a delay."""

from __future__ import annotations

import time

from bronzerudder.platform.documents import InstanceDocument


class LaggingInstances:
    """Instances as they were ``lag_s`` seconds ago.

    Parameters
    ----------
    lag_s : float
        Delay until a change is visible, in seconds.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._changes: list[tuple[float, str, InstanceDocument | None]] = []

    def set(self, instance: InstanceDocument) -> None:
        """Add or replace an instance."""
        self._changes.append((time.monotonic(), instance["name"], instance))

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self._changes.append((time.monotonic(), name, None))

    def visible(self) -> list[InstanceDocument]:
        """Return the instances that are visible at this time."""
        horizon = time.monotonic() - self.lag_s
        shown: dict[str, InstanceDocument] = {}
        for changed_at, name, instance in self._changes:
            if changed_at > horizon:
                break
            if instance is None:
                shown.pop(name, None)
                continue
            shown[name] = instance
        return list(shown.values())
