"""Decodes requests that an entry VM answers itself: VM look-ups and readiness probes."""

from __future__ import annotations

import json
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from siskinward.daemon.entry.ports import LookupRequest
from siskinward.state.identifiers import DomainName
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse

LOOKUP_PATH = "/v1/resolve"
READINESS_PATH = "/v1/ready"


def decode_lookup(request: HttpRequest) -> LookupRequest | None:
    """Decode ``GET /v1/resolve``; None for anything else."""
    try:
        parts = urlsplit(request.target)
    except ValueError:
        # The target looks like that of a proxy, with a malformed host.
        return None
    if request.method != "GET" or parts.path != LOOKUP_PATH:
        return None
    query = parse_qs(parts.query)
    # ``name`` is the host name that the client will send requests to, not the name of a VM.
    host = query.get("name", [""])[0]
    return LookupRequest(host, DomainName(query.get("zone", [""])[0]))


def encode_lookup_answer(addresses: list[str], lifetime_s: float) -> HttpResponse:
    """Encode the answer to a look-up; the wire field ``ttl`` holds the lifetime."""
    body = json.dumps({"addresses": addresses, "ttl": f"{int(lifetime_s * 1000)}ms"})
    return HttpResponse(200, ((b"content-type", b"application/json"),), body.encode())


def is_readiness_probe(request: HttpRequest) -> bool:
    """Return whether a request is ``GET /v1/ready``."""
    return request.method == "GET" and request.target.partition("?")[0] == READINESS_PATH
