"""Tickets: ids issued by an entry VM under which a request runs at most once."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64encode
from hashlib import sha256
from urllib.parse import quote
from urllib.parse import unquote

from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.coordination.events import VmIdentity
from siskinward.state.errors import StepError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TICKET_PREFIX = "st1"
MAC_BYTES = 16
FIELD_COUNT = 9


@frozen
class Ticket:
    """A request's permission to run once, issued by ``home``.

    ``home`` decides which attempt may claim it; ``copy``, a peer of its failure domain, must
    confirm the claim. ``minted_at_ms`` is the time of issue, comparable only with the home's own
    clock.
    """

    home: VmIdentity
    copy: VmIdentity | None
    serial: int
    minted_at_ms: int


def is_ticket(text: str) -> bool:
    """Return whether the text has a ticket's prefix; otherwise it is a caller's own key."""
    return text.startswith(f"{TICKET_PREFIX}:")


def write_ticket(ticket: Ticket, secret: bytes) -> str:
    """Return the text form of a ticket with its MAC, safe in an HTTP header."""
    payload = ":".join(_fields(ticket))
    return f"{payload}:{_mac(payload, secret)}"


def read_ticket(text: str, secret: bytes) -> Result[Ticket, StepError]:
    """Parse a ticket and verify its MAC, which needs the deployment's secret."""
    payload, _, mac = text.rpartition(":")
    if not hmac.compare_digest(mac.encode(), _mac(payload, secret).encode()):
        return Error(
            StepError(
                "read ticket",
                "caller",
                "the MAC does not match the secret of this deployment",
            )
        )
    fields = [unquote(part) for part in payload.split(":")]
    if len(fields) != FIELD_COUNT - 1 or fields[0] != TICKET_PREFIX:
        return Error(StepError("read ticket", "caller", "the ticket has an unknown format"))
    return Ok(_ticket(fields))


def _fields(ticket: Ticket) -> list[str]:
    copy = ticket.copy
    names = [ticket.home.failure_domain, ticket.home.vm, ticket.home.incarnation]
    names += [copy.vm, copy.incarnation] if copy else ["", ""]
    numbers = [str(ticket.serial), str(ticket.minted_at_ms)]
    return [TICKET_PREFIX, *(quote(name, safe="") for name in names), *numbers]


def _ticket(fields: list[str]) -> Ticket:
    _, domain, vm, incarnation, copy_vm, copy_incarnation, serial, minted_at_ms = fields
    home = VmIdentity(VmName(vm), DomainName(domain), IncarnationId(incarnation))
    copy = None
    if copy_vm:
        copy = VmIdentity(VmName(copy_vm), home.failure_domain, IncarnationId(copy_incarnation))
    return Ticket(home, copy, int(serial), int(minted_at_ms))


def _mac(payload: str, secret: bytes) -> str:
    digest = hmac.digest(secret, payload.encode(), sha256)
    return urlsafe_b64encode(digest[:MAC_BYTES]).rstrip(b"=").decode()
