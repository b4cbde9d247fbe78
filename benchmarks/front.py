"""Measures the front of one VM: added latency, throughput, start time and memory.

Run as ``python benchmarks/front.py``. Latency and throughput are compared with direct calls to the
same target in the same run. All processes communicate over loopback.
"""

from __future__ import annotations

import json
import multiprocessing
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import curio
from hdrh.histogram import HdrHistogram

from siskinward.state.key_table import hash_key
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest

HOST = "127.0.0.1"
PLATFORM_PORT, FRONT_PORT, PEER_PORT, TARGET_PORT = 18000, 18001, 18002, 18003
RATE_PER_S = 300.0
DURATION_S = 10.0
LOAD_CONNECTIONS = 32
LOAD_PROCESSES = 4
SLOTS = 256
WAIT_LIMIT_S = 40.0
SIGNIFICANT_DIGITS = 3
LIMIT_MICROSECONDS = 10_000_000

CONFIGURATION = f"""
[region one]
[failure-domain one]
region = one
[vm vm-1]
failure_domain = one
host = {HOST}
front_port = {FRONT_PORT}
peer_port = {PEER_PORT}
[service listings]
service_class = read
timeout_s = 5
queue_limit = 4096
[route listings]
service = listings
path_prefix = /listings
methods = GET
[target-group listings]
service = listings
failure_domain = one
[target listings-1]
group = listings
host = {HOST}
port = {TARGET_PORT}
slots = {SLOTS}
connection_limit = {SLOTS}
[client-account alpha]
rate_per_s = 1000000
burst_tokens = 1000000
[key alpha-1]
client_account = alpha
key_hash_hex = {hash_key("demo-alpha").hex()}
"""
SETTINGS = f"""
[node]
vm = vm-1
failure_domain = one
host = {HOST}
front_port = {FRONT_PORT}
peer_port = {PEER_PORT}
[platform]
host = {HOST}
port = {PLATFORM_PORT}
[peers]
shared_secret = benchmark
"""
KEYED = ((b"authorization", b"Bearer demo-alpha"),)


async def call(port: int, path: str, headers: Any = ()) -> Any:
    connection = HttpClientConnection(HOST, port)
    result = await connection.exchange(HttpRequest("GET", path, headers), 5.0)
    await connection.close()
    return result.ok if result.is_ok() else None


async def wait_until_served() -> None:
    deadline_s = await curio.clock() + WAIT_LIMIT_S
    while await curio.clock() < deadline_s:
        response = await call(FRONT_PORT, "/listings/x", KEYED)
        if response is not None and response.status == 200:
            return
        await curio.sleep(0.05)
    raise TimeoutError("the VM did not answer /listings/x with status 200 in time")


async def wait_until_up(port: int, path: str) -> float:
    start_s = time.monotonic()
    while time.monotonic() - start_s < WAIT_LIMIT_S:
        response = await call(port, path)
        if response is not None and response.status == 200:
            return time.monotonic() - start_s
        await curio.sleep(0.01)
    raise TimeoutError(f"port {port} did not answer with status 200 in time")


async def measure_paced(port: int) -> HdrHistogram:
    """Send requests at ``RATE_PER_S``, round robin over the connections; record latencies in us."""
    histogram = HdrHistogram(1, LIMIT_MICROSECONDS, SIGNIFICANT_DIGITS)
    connections = [HttpClientConnection(HOST, port) for _ in range(LOAD_CONNECTIONS)]
    start_s = time.perf_counter()
    for number in range(int(RATE_PER_S * DURATION_S)):
        wait_s = start_s + number / RATE_PER_S - time.perf_counter()
        if wait_s > 0:
            await curio.sleep(wait_s)
        before_s = time.perf_counter()
        connection = connections[number % LOAD_CONNECTIONS]
        result = await connection.exchange(HttpRequest("GET", "/listings/x", KEYED), 5.0)
        assert result.ok.status == 200
        histogram.record_value(int((time.perf_counter() - before_s) * 1e6))
    return histogram


async def closed_loop(port: int, duration_s: float) -> int:
    async def send_requests() -> int:
        connection = HttpClientConnection(HOST, port)
        served_count = 0
        while time.monotonic() < end_s:
            result = await connection.exchange(HttpRequest("GET", "/listings/x", KEYED), 5.0)
            served_count += int(result.is_ok() and result.ok.status == 200)
        return served_count

    end_s = time.monotonic() + duration_s
    tasks = [await curio.spawn(send_requests) for _ in range(LOAD_CONNECTIONS // LOAD_PROCESSES)]
    return sum([await task.join() for task in tasks])


def load_process(port: int) -> int:
    return int(curio.run(closed_loop, port, DURATION_S))


def throughput(port: int) -> float:
    with multiprocessing.Pool(LOAD_PROCESSES) as pool:
        return sum(pool.map(load_process, [port] * LOAD_PROCESSES)) / DURATION_S


def resident_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(row for row in status.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def main() -> None:
    folder = Path(tempfile.mkdtemp())
    (folder / "configuration.ini").write_text(CONFIGURATION, encoding="utf-8")
    (folder / "node.ini").write_text(
        SETTINGS + f"[log]\npath = {folder}/node.log\n", encoding="utf-8"
    )
    command = [sys.executable, "-m", "siskinward"]
    configuration = str(folder / "configuration.ini")
    processes = [
        subprocess.Popen([*command, "standin", "platform", "--port", str(PLATFORM_PORT)]),
        subprocess.Popen([*command, "standin", "target", configuration, "--service-time-ms", "0"]),
    ]
    try:
        curio.run(wait_until_up, PLATFORM_PORT, "/counts")
        platform = f"{HOST}:{PLATFORM_PORT}"
        subprocess.run([*command, "publish", configuration, "--platform", platform], check=True)
        settings = str(folder / "node.ini")
        node = subprocess.Popen([*command, "node", "--settings", settings])
        processes.append(node)
        start_s = curio.run(wait_until_up, FRONT_PORT, "/lookup?service=listings")
        curio.run(wait_until_served)
        print(json.dumps(measure(node.pid, start_s), indent=2))
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(WAIT_LIMIT_S)


def measure(pid: int, start_s: float) -> dict[str, float]:
    direct = curio.run(measure_paced, TARGET_PORT)
    front = curio.run(measure_paced, FRONT_PORT)

    def quantile_ms(histogram: HdrHistogram, percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    direct_per_s = throughput(TARGET_PORT)
    front_per_s = throughput(FRONT_PORT)
    return {
        "start_to_first_answer_s": round(start_s, 2),
        "direct_p50_ms": quantile_ms(direct, 50),
        "front_p50_ms": quantile_ms(front, 50),
        "added_p50_ms": round(quantile_ms(front, 50) - quantile_ms(direct, 50), 3),
        "added_p99_ms": round(quantile_ms(front, 99) - quantile_ms(direct, 99), 3),
        "direct_per_s": round(direct_per_s),
        "front_per_s": round(front_per_s),
        "front_to_direct_ratio": round(front_per_s / direct_per_s, 3),
        "resident_mb": round(resident_mb(pid), 1),
    }


if __name__ == "__main__":
    main()
