"""Names of the platform's header fields, in lower case as parsed."""

from __future__ import annotations

from siskinward.protocol.steering_headers import SteeringHeaders

HEADERS = SteeringHeaders(
    attempt_id=b"x-attempt-id",
    # The time that the caller will still wait, despite the name; not a point in time.
    time_left_ms=b"x-deadline-ms",
    object_key=b"x-affinity-key",
    signature=b"x-response-signature",
    client_account=b"x-tenant",
    expected_target=b"x-expect-instance",
    target=b"x-instance-id",
    load=b"x-backend-load",
    not_run=b"x-not-executed",
    warmup_left_ms=b"x-warmup-ms",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    retry_after=b"retry-after",
)
