"""Mutual authentication by a shared secret, required before VMs accept other messages."""

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
    """Identifies the sender and challenges the receiver with a nonce."""

    vm: str
    failure_domain: str
    incarnation: str
    nonce: bytes

    @property
    def identity(self) -> VmIdentity:
        """The sender's identity, valid only once its ``Proof`` has been verified."""
        return VmIdentity(
            VmName(self.vm), DomainName(self.failure_domain), IncarnationId(self.incarnation)
        )


@frozen
class Proof:
    """Answers the challenge of the receiver's ``Hello``."""

    mac: bytes


@frozen
class Ping:
    """Keepalive probe of a link, answered by a ``Pong``."""

    serial: int


@frozen
class Pong:
    """Answers the ``Ping`` of the same serial on the same link."""

    serial: int


MESSAGES: tuple[type, ...] = (Hello, Proof, Ping, Pong)


def compute_proof(secret: bytes, prover: Hello, verifier: Hello) -> Proof:
    """Return a MAC under the shared secret that binds the prover's identity to both nonces."""
    parts = (
        prover.vm.encode(),
        prover.failure_domain.encode(),
        prover.incarnation.encode(),
        prover.nonce,
        verifier.vm.encode(),
        verifier.nonce,
    )
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return Proof(digest.digest())


def is_valid_proof(secret: bytes, proof: Proof, prover: Hello, verifier: Hello) -> bool:
    """Return whether the prover's proof is valid, comparing in constant time."""
    return hmac.compare_digest(proof.mac, compute_proof(secret, prover, verifier).mac)
