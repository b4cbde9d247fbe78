"""TLS on the streams between VMs: both sides present a certificate of the deployment's own CA."""

from __future__ import annotations

import ssl
from typing import Any

import curio.io
from attrs import frozen

from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError


@frozen
class PeerTls:
    """Contexts for the two roles. Host names are not checked: VMs are addressed by IP."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def create_peer_tls(certificate_path: str, key_path: str, ca_path: str) -> PeerTls:
    """Load the files. Raises ``SiskinwardError`` with their paths."""
    try:
        server = _create_context(ssl.PROTOCOL_TLS_SERVER, certificate_path, key_path, ca_path)
        client = _create_context(ssl.PROTOCOL_TLS_CLIENT, certificate_path, key_path, ca_path)
    except (OSError, ssl.SSLError) as error:
        paths = f"{certificate_path}, {key_path}, {ca_path}"
        raise SiskinwardError(StepError("load TLS files", paths, str(error))) from error
    return PeerTls(server, client)


async def start_tls(sock: Any, context: ssl.SSLContext, *, is_server: bool) -> Any:
    """Wrap a connected curio socket in TLS and perform the handshake."""
    wrapped = context.wrap_socket(
        sock._socket, server_side=is_server, do_handshake_on_connect=False
    )
    secured = curio.io.Socket(wrapped)
    try:
        await secured.do_handshake()
    except BaseException:
        await secured.close()
        raise
    return secured


def _create_context(
    protocol: int, certificate_path: str, key_path: str, ca_path: str
) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(certificate_path, key_path)
    context.load_verify_locations(ca_path)
    return context
