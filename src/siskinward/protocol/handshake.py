"""Mutual proof of a shared secret before any message between VMs counts."""

from __future__ import annotations

import hashlib
import hmac

from attrs import frozen

from siskinward.coordination.events import VmIdentity
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

NONCE_SIZE_BYTES = 16


@frozen
class Hello:
    """Names the speaker and challenges the other side with a nonce."""

    vm: str
    failure_domain: str
    incarnation: str
    nonce: bytes

    @property
    def identity(self) -> VmIdentity:
        """The speaker as the decision objects know it, once it has proved the secret."""
        return VmIdentity(
            VmName(self.vm), DomainName(self.failure_domain), IncarnationId(self.incarnation)
        )


@frozen
class Proof:
    """Answers a challenge."""

    mac: bytes


@frozen
class Ping:
    """Asks the other side of a link for a sign of life."""

    serial: int


@frozen
class Pong:
    """Answers ``Ping`` on the same link."""

    serial: int


MESSAGES: tuple[type, ...] = (Hello, Proof, Ping, Pong)


def compute_proof(secret: bytes, speaker: Hello, listener: Hello) -> Proof:
    """Bind the speaker's identity to both nonces under the shared secret."""
    parts = (
        speaker.vm.encode(),
        speaker.failure_domain.encode(),
        speaker.incarnation.encode(),
        speaker.nonce,
        listener.vm.encode(),
        listener.nonce,
    )
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return Proof(digest.digest())


def is_valid_proof(secret: bytes, proof: Proof, speaker: Hello, listener: Hello) -> bool:
    """Check the speaker's proof in constant time."""
    return hmac.compare_digest(proof.mac, compute_proof(secret, speaker, listener).mac)
