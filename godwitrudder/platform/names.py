"""Names on the platform's wire: headers, paths, topics, keys, environment variables.

Code outside this package uses the project's own terms.
"""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = b"x-godwitrudder-request-id"
DEADLINE_MS: Final = b"x-godwitrudder-deadline-ms"
PREFIX: Final = b"x-godwitrudder-prefix-hash"
TOKENS: Final = b"x-godwitrudder-token-count"
MODEL: Final = b"x-godwitrudder-model"
LENGTH_HINT: Final = b"x-godwitrudder-length-hint"
SIGNATURE: Final = b"x-godwitrudder-response-signature"
TENANT: Final = b"x-godwitrudder-tenant"
EXPECT_INSTANCE: Final = b"x-godwitrudder-expect-instance"
INSTANCE: Final = b"x-godwitrudder-instance-id"
NOT_EXECUTED: Final = b"x-godwitrudder-not-executed"
SERVER_LOAD: Final = b"x-godwitrudder-server-load"
COLD_MS: Final = b"x-godwitrudder-cold-ms"
SERVER_LIMIT: Final = b"server-limit"
SERVER_LEAVING: Final = b"server-leaving"
RETRY_AFTER: Final = b"retry-after"
PRIORITY: Final = b"x-godwitrudder-request-priority"
LAST_EVENT_ID: Final = b"last-event-id"

RESERVED_HEADERS: Final = frozenset(
    {
        b"authorization",
        TENANT,
        EXPECT_INSTANCE,
        PRIORITY,
        DEADLINE_MS,
        b"x-godwitrudder-expect-version",
        b"x-godwitrudder-pin-ms",
        b"x-godwitrudder-hold",
        b"x-godwitrudder-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
    }
)
"""Request headers that the router sets or drops; a caller's values never pass."""

ENGINE_REPORT: Final = b"/api/report"
READY_PATH: Final = "/api/ready"
APPEND: Final = "/api/log-append"
READ: Final = "/api/log-read"
NEWEST: Final = "/api/log-newest"

STORE_ERA: Final = "store-era"

OPERATOR_TOPIC: Final = "keyed.op"
CONFIGURATION_KEY: Final = "config"
EVACUATION_PREFIX: Final = "evacuate/"
"""Keys of evacuations; the name of the failure domain follows."""
RUNNERS_TOPIC: Final = "keyed.servers"
LEDGER_TOPIC: Final = "keyed.ledger"

SETTINGS_VARIABLE: Final = "GODWITRUDDER_SETTINGS"
METRICS_VARIABLE: Final = "GODWITRUDDER_METRICS_PORT"
OPTIONS_VARIABLE: Final = "GODWITRUDDER_OPTIONS"
