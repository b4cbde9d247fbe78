"""Registers the classes of all messages between VMs."""

from __future__ import annotations

from siskinward.coordination import ownership
from siskinward.coordination import shares
from siskinward.coordination import version_messages
from siskinward.coordination.demand import messages as demand
from siskinward.coordination.grants import messages as grants
from siskinward.coordination.membership import messages as membership
from siskinward.coordination.quarantine import messages as quarantine
from siskinward.coordination.summaries import messages as summaries
from siskinward.coordination.tickets import messages as tickets
from siskinward.protocol import forwarding
from siskinward.protocol import handshake
from siskinward.protocol.codec import MessageCodec

MESSAGES: tuple[type, ...] = (
    *handshake.MESSAGES,
    *demand.MESSAGES,
    *forwarding.MESSAGES,
    *grants.MESSAGES,
    *membership.MESSAGES,
    *ownership.MESSAGES,
    *quarantine.MESSAGES,
    *shares.MESSAGES,
    *summaries.MESSAGES,
    *tickets.MESSAGES,
    *version_messages.MESSAGES,
    *version_messages.MESSAGES,
)


def create_codec() -> MessageCodec:
    """Return a codec for every registered message class."""
    return MessageCodec(MESSAGES)
