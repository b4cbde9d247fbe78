"""Clients that upload a body each: HOST CLIENTS BODY_BYTES CHUNK_BYTES TIME_LIMIT_S THING.

They send the ends of their bodies at the same time. On loopback a body takes a moment from one VM
to another; at ``link_mbps`` it takes so long that uploads overlap by themselves.
"""

from __future__ import annotations

import socket
import sys
from threading import Barrier
from threading import Thread

from deployment.client import HOST_NAME
from deployment.client import KEY
from deployment.vms import FRONT_PORT

CHUNKS_PER_SEND = 50


def main() -> None:
    host = sys.argv[1]
    clients, body_bytes, chunk_bytes = (int(text) for text in sys.argv[2:5])
    all_sent = Barrier(clients)
    arguments = (host, body_bytes, chunk_bytes, float(sys.argv[5]), sys.argv[6], all_sent)
    threads = [Thread(target=_upload, args=(number, *arguments)) for number in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _upload(
    number: int,
    host: str,
    body_bytes: int,
    chunk_bytes: int,
    time_limit_s: float,
    thing: str,
    all_sent: Barrier,
) -> None:
    head = (
        f"POST /sheets/{number} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: upload-{number}\r\n"
        f"X-Deadline-Ms: {int(time_limit_s * 1000)}\r\nAuthorization: Bearer {KEY}\r\n"
        f"X-Affinity-Key: {thing}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    try:
        with socket.create_connection((host, FRONT_PORT)) as sock:
            sock.settimeout(time_limit_s)
            sock.sendall(head.encode())
            for _ in range(body_bytes // chunk_bytes // CHUNKS_PER_SEND):
                sock.sendall(chunk * CHUNKS_PER_SEND)
            all_sent.wait(time_limit_s)
            sock.sendall(b"0\r\n\r\n")
            answer = sock.recv(1000).split(b"\r\n")[0].decode()
    except OSError as error:
        answer = f"no answer: {error}"
    print(f"upload-{number}: {answer}")


if __name__ == "__main__":
    main()
