"""HTTP/1.1 messages for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Response:
    status: int
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request whose body has a length; None if the connection ends before one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = _parse(head)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response whose body has a length."""
    first, headers = _parse(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Response(int(first.split(" ")[1]), headers, body)


def render(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _parse(head: bytes) -> tuple[str, dict[str, str]]:
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in fields}
