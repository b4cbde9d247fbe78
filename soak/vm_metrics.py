"""Reads what a VM says of itself on its page of metrics."""

from __future__ import annotations

from siskinward.daemon.entry.metrics_page import METRICS_PATH
from siskinward.daemon.entry.metrics_page import PREFIX
from siskinward.platform._settings import METRICS_PORT
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection

SCRAPE_TIMEOUT_S = 2.0


async def read_known_targets(host: str) -> int | None:
    """Return the number of targets that a VM knows; None if it does not answer."""
    connection = OutboundConnection(host, METRICS_PORT)
    request = HttpRequest("GET", METRICS_PATH, ((b"host", host.encode()),))
    try:
        await connection.connect(SCRAPE_TIMEOUT_S)
        response = await connection.exchange(request, SCRAPE_TIMEOUT_S)
    except ExchangeFailedError:
        return None
    finally:
        await connection.close()
    lines = response.body.decode().splitlines()
    counts = [line for line in lines if line.startswith(f"{PREFIX}targets{{")]
    return sum(int(float(line.rpartition(" ")[2])) for line in counts)
