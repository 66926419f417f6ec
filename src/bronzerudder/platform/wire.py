"""Names that the users' platform gives to headers, calls, kinds and words."""

from __future__ import annotations

OBJECTS_PATH = "/-/objects/"
READY_PATH = b"/-/readyz"
ORDER_PATH = b"/-/order"
REPORT_PATH = b"/-/report"
COUNTS_PATH = b"/-/picked"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
BACKEND_SERVER_KIND = "servers"

REQUEST_ID = b"attempt-id"
DEADLINE_MS = b"deadline-ms"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"response-signature"
WORKSPACE = b"tenant"
EXPECTED_INSTANCE = b"expect-instance"
LOAD = b"server-load"
NOT_EXECUTED = b"not-executed"
# "tokens in, most tokens out" of the request, not a count of what was used.
TOKENS = b"token-usage"
LENGTH_HINT = b"length-hint"
PRIORITY = b"request-priority"
# The address of the backend server at fault, not its id.
FAULTY_ADDRESS = b"at-server"
API_KEY = b"x-api-key"

MAX_PRIORITY = 9
"""Least urgent value of the priority header."""

STATUS_NOT_THIS_INSTANCE = 421

CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that concern one connection only; the framing is written anew on the next one."""

SYSTEM_HEADERS = frozenset((API_KEY, WORKSPACE, EXPECTED_INSTANCE, DEADLINE_MS, PRIORITY))
"""Request headers that are set here, whatever the caller sent."""
