"""Counts what a process holds for its callers, and makes room when it is short."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable

from bronzerudder.intake.limits import IntakeLimits

SMALL_BYTES = 65_536
"""What a connection may hold and still count as small."""
STALLED_S = 0.5
"""Time without a byte from or to a caller after which its connection is ended before others."""


class CallerState(enum.Enum):
    """What a connection does; in all states but ``SERVED`` it waits for its caller.

    ``IDLE`` waits for a request, ``READING`` for the rest of one, ``SENDING`` until the caller
    takes an answer, and ``CLOSING`` until it closes.
    """

    IDLE = "idle"
    READING = "reading"
    SERVED = "served"
    SENDING = "sending"
    CLOSING = "closing"


class Account:
    """What is held for one connection, or for one of several requests on a connection.

    Parameters
    ----------
    intake : Intake
        Counts it.
    refuse : callable
        Refuses the request that is being read, with the reason.
    close : callable
        Closes the connection, with a reset if its argument is true.
    is_connection : bool
        Whether it is the account of a connection, or of one of several requests on it.
    """

    def __init__(
        self,
        intake: Intake,
        refuse: Callable[[str], None],
        close: Callable[[bool], None],
        is_connection: bool,
    ) -> None:
        self._is_connection = is_connection
        self._intake = intake
        self._refuse = refuse
        self._close = close
        self._state = CallerState.IDLE
        self._since_s = time.monotonic()
        self._held_bytes = 0
        self._closed = False

    @property
    def state(self) -> CallerState:
        """What the connection does."""
        return self._state

    @property
    def held_bytes(self) -> int:
        """Bytes held for it."""
        return self._held_bytes

    @property
    def since_s(self) -> float:
        """Monotonic time of its last state or progress."""
        return self._since_s

    @property
    def is_connection(self) -> bool:
        """Whether it is the account of a connection."""
        return self._is_connection

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for its caller, and may be ended."""
        return self._state is not CallerState.SERVED and not self._closed

    def enter(self, state: CallerState) -> None:
        """Change the state."""
        self._state = state
        self._since_s = time.monotonic()

    def hold(self, held_bytes: int) -> str:
        """Set the bytes held; return why there is no room for them, or an empty string.

        Connections that wait for their callers may be ended to make room. A request that was read
        completely is refused no more, and an answer is always held.
        """
        if self._state is CallerState.READING:
            self._since_s = time.monotonic()
        return self._intake.hold(self, held_bytes)

    def add(self, added_bytes: int) -> None:
        """Add to the bytes held, which cannot be refused any more, or subtract from them."""
        self._intake.hold(self, max(0, self._held_bytes + added_bytes))

    def remove(self) -> None:
        """Count the connection no more."""
        self._intake.remove(self)

    def set_held(self, held_bytes: int) -> None:
        """Set the bytes held; for the intake, which keeps the sums."""
        self._held_bytes = held_bytes

    def end(self, reason: str) -> None:
        """Refuse the request that is being read, or close; for the intake, which counts it."""
        state = self._state
        self.enter(CallerState.CLOSING)
        if state is CallerState.READING:
            self._refuse(reason)
            return
        self._closed = True
        # An answer that is cut off must not look complete.
        self._close(state is CallerState.SENDING)


class Intake:
    """Counts what a process holds for its callers, and makes room when it is short.

    Parameters
    ----------
    limits : IntakeLimits
        Limits of the process.
    on_refused : callable
        Called with a status and a reason for each caller that is refused for lack of room; the
        status is 0 if the connection is closed without an answer. `HttpServer` reports requests
        that it answers by itself.
    """

    def __init__(
        self,
        limits: IntakeLimits,
        on_refused: Callable[[int, str], None] = lambda status, reason: None,
    ) -> None:
        self._limits = limits
        self._on_refused = on_refused
        self._connections = 0
        self._accounts: set[Account] = set()
        self._held_bytes = 0
        self._large_bytes = 0

    @property
    def limits(self) -> IntakeLimits:
        """Limits of the process."""
        return self._limits

    @property
    def connections(self) -> int:
        """Open connections."""
        return self._connections

    @property
    def held_bytes(self) -> int:
        """Bytes held for all connections."""
        return self._held_bytes

    def report_refused(self, status: int, reason: str) -> None:
        """Report a caller that was refused; the status is 0 if its connection was just closed."""
        self._on_refused(status, reason)

    def open(
        self,
        refuse: Callable[[str], None],
        close: Callable[[bool], None],
        is_connection: bool = True,
    ) -> Account:
        """Count a new connection, or one of several requests on a connection; see `Account`."""
        account = Account(self, refuse, close, is_connection)
        self._accounts.add(account)
        self._connections += is_connection
        return account

    def remove(self, account: Account) -> None:
        """Count a connection or request no more."""
        if account not in self._accounts:
            return
        self._record(account, 0)
        self._accounts.discard(account)
        self._connections -= account.is_connection

    def end_longest_waiting(self, accounts: list[Account], reason: str) -> bool:
        """End the connection that has waited longest for its caller; False if none waits.

        Connections that are being closed come first.
        """

        def rank(account: Account) -> tuple[bool, float]:
            return account.state is not CallerState.CLOSING, account.since_s

        waiting = [account for account in accounts if account.is_waiting]
        if not waiting:
            return False
        self._end(min(waiting, key=rank), reason)
        return True

    def hold(self, account: Account, held_bytes: int) -> str:
        """Set the bytes held for a connection; return why there is no room, or an empty string."""
        if account not in self._accounts:
            return "the connection is closed"
        self._record(account, held_bytes)
        while True:
            reason = self._find_excess(account)
            if not reason:
                return ""
            is_read = account.state is CallerState.READING
            victim = self._find_largest(account)
            if victim is None and not is_read:
                return ""
            if victim is None or victim is account:
                self._record(account, 0)
                return reason
            self._end(victim, reason)

    def has_room(self, added_bytes: int) -> bool:
        """Whether bytes that are not needed yet can be held; half of the room is for bodies."""
        return self._held_bytes + added_bytes <= self._limits.large_bytes // 2

    def _find_excess(self, account: Account) -> str:
        limits = self._limits
        if account.held_bytes > SMALL_BYTES and self._large_bytes > limits.large_bytes:
            return f"large requests and answers exceed {limits.large_bytes} bytes"
        if self._held_bytes > limits.held_bytes:
            return f"requests and answers exceed {limits.held_bytes} bytes"
        return ""

    def _find_largest(self, growing: Account) -> Account | None:
        """Find whom to end so that a connection may hold more; perhaps that connection itself.

        Closing and stalled connections come before others, requests before answers, then the
        largest.
        """
        now_s = time.monotonic()
        least_bytes = SMALL_BYTES if growing.held_bytes > SMALL_BYTES else 0

        def rank(account: Account) -> tuple[bool, bool, int]:
            stalled = account.state is CallerState.CLOSING
            stalled = stalled or now_s - account.since_s >= STALLED_S
            return stalled, account.state is CallerState.READING, account.held_bytes

        candidates = []
        for account in self._accounts:
            if not account.is_waiting or account.held_bytes <= least_bytes:
                continue
            if account is growing and account.state is CallerState.SENDING:
                continue
            candidates.append(account)
        return max(candidates, key=rank, default=None)

    def _end(self, account: Account, reason: str) -> None:
        self._record(account, 0)
        if account.state is not CallerState.READING:
            self._on_refused(0, reason)
        account.end(reason)

    def _record(self, account: Account, held_bytes: int) -> None:
        before = account.held_bytes
        self._held_bytes += held_bytes - before
        if before > SMALL_BYTES:
            self._large_bytes -= before
        if held_bytes > SMALL_BYTES:
            self._large_bytes += held_bytes
        account.set_held(held_bytes)
