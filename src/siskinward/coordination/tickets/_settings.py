"""Settings of the ticket registry."""

from __future__ import annotations

from attrs import frozen


@frozen
class TicketSettings:
    """Time-outs and limits. ``record_lifetime_s`` must exceed ``claim_lifetime_s``."""

    ask_timeout_s: float = 0.25
    claim_lifetime_s: float = 300.0
    record_lifetime_s: float = 900.0
    record_limit: int = 20_000
    kept_answers_bytes: int = 8 * 1024 * 1024
    kept_answer_limit_bytes: int = 64 * 1024
    waiter_limit: int = 4
    finish_interval_s: float = 1.0
    finish_retention_s: float = 30.0
    hand_over_records: int = 64
    key_answer_limit_bytes: int = 8 * 1024
    store_timeout_s: float = 2.0
    store_retry_s: float = 0.25
    retry_after_s: float = 1.0
