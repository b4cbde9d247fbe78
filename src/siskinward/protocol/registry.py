"""All classes that travel between VMs."""

from __future__ import annotations

from siskinward.coordination.membership import messages as membership
from siskinward.protocol import forwarding
from siskinward.protocol import handshake
from siskinward.protocol.codec import MessageCodec

MESSAGES: tuple[type, ...] = (
    *handshake.MESSAGES,
    *forwarding.MESSAGES,
    *membership.MESSAGES,
)


def create_codec() -> MessageCodec:
    """Return a codec for every registered message class."""
    return MessageCodec(MESSAGES)
