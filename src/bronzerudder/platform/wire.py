"""Paths, object kinds, headers and statuses of the users' platform, under this project's names."""

from __future__ import annotations

OBJECTS_PATH = "/-/objects/"
READY_PATH = b"/-/readyz"
ORDER_PATH = b"/-/order"
REPORT_PATH = b"/-/report"
# How often a rank's requests chose each expert; with ``?lists=1``, the experts that it holds.
COUNTS_PATH = b"/-/picked"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
BACKEND_SERVER_KIND = "servers"

# Identifies one attempt of the caller; every attempt that the gateway makes for it has the same.
REQUEST_ID = b"attempt-id"
DEADLINE_MS = b"deadline-ms"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"response-signature"
WORKSPACE = b"tenant"
EXPECTED_INSTANCE = b"expect-instance"
LOAD = b"server-load"
# Requests per second that the server accepts from all gateways together; absent without a limit.
LIMIT = b"server-limit"
# "1" in all answers of a server that will end soon and wants no new requests.
LEAVING = b"server-leaving"
# With status 503: seconds, with fractions, for which the server wants nothing from this gateway.
RETRY_AFTER = b"retry-after"
NOT_EXECUTED = b"not-executed"
# "prompt tokens,maximum answer tokens" that a request announces, not the tokens that were used.
TOKENS = b"token-usage"
# Expected answer tokens; preferred to the maximum above.
LENGTH_HINT = b"length-hint"
# Parts of the prompt in order, as "id:tokens" entries separated by commas; the last part is the
# request's or session's own.
PROMPT_PARTS = b"prompt-prefix"
PRIORITY = b"request-priority"
MODEL = b"model"
# Address, not id, of the backend server at fault.
FAULTY_ADDRESS = b"at-server"
API_KEY = b"x-api-key"
# In all answers of the store: rises when it was restored from a copy and lost acknowledged writes.
STORE_ERA = b"store-era"

MAX_PRIORITY = 9
"""Least urgent value of the priority header."""

STATUS_REJECTED = 503
STATUS_NOT_THIS_INSTANCE = 421
"""The request named another instance than the one that received it, and was not run."""

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
"""Headers that are valid for one connection only; each connection gets its own framing."""

SYSTEM_HEADERS = frozenset((API_KEY, WORKSPACE, EXPECTED_INSTANCE, DEADLINE_MS, PRIORITY))
"""Request headers that only this system sets; values that a caller sent are dropped."""
