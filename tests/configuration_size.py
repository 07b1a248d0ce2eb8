"""Measure what a configuration of many routes costs the hosts that hold it.

The rows are in a table of docs/CAPACITY.md.  Print them with
`python -m tests.configuration_size`.
"""

from __future__ import annotations

import json
import multiprocessing
import time
import zlib
from pathlib import Path
from random import Random

import msgspec

from kingcuppulley.control.configuration_publisher import COMPRESSION_LEVEL
from kingcuppulley.control.content_transfer import CHUNK_BYTES
from kingcuppulley.control.routing_content import (
    DEFAULT_DOCUMENT_BYTES,
    EarlierServices,
    RoutingContent,
    encode_content,
)
from kingcuppulley.operators.routing import RoutingTable, find_earlier_services
from kingcuppulley.platform.documents import decode_accepted_configuration

ROUTE_COUNTS = (100, 1_000, 4_000, 16_000)
SLOWEST_LINK_BYTES_PER_SECOND = 250_000
_BYTES_PER_MEGABYTE = 1024 * 1024
_KIBIBYTES_PER_MEGABYTE = 1024


class Row(msgspec.Struct, frozen=True):
    """Hold what a configuration with some number of routes costs.

    `entry_megabytes` is the memory that an entry host needs more than before, at most,
    while it replaces one such configuration by another.  `link_seconds` is how long the
    content occupies a link of 2 Mbit/s.
    """

    routes: int
    document_bytes: int
    content_bytes: int
    chunks: int
    link_seconds: float
    decode_seconds: float
    accept_seconds: float
    entry_megabytes: float

    def __str__(self) -> str:
        return (
            f"| {self.routes:,} | {self.document_bytes / 1000:,.0f} | "
            f"{self.content_bytes / 1000:,.0f} | {self.chunks} | "
            f"{self.link_seconds:.2f} | {self.decode_seconds:.3f} | "
            f"{self.accept_seconds:.3f} | {self.entry_megabytes:.0f} |"
        )


def make_document(version: int, route_count: int, service: str) -> bytes:
    """Return a configuration whose routes differ in name, address and port."""
    random = Random(version)
    routes = [
        {
            "name": f"r-{random.getrandbits(36):08x}",
            "host": f"198.18.{number // 200 % 250}.{number % 200 + 1}",
            "path_prefix": f"/{1024 + number % 60_000}/",
            "type": "safe",
            "timeout_ms": 1500,
            "slo_ms": 150,
            "priority": 2,
            "service": service,
            "attempts": 2,
        }
        for number in range(route_count)
    ]
    services = [{"name": name, "warmup_s": 2.0} for name in ("desk", "store")]
    document = {"version": version, "routes": routes, "services": services}
    return json.dumps(document, separators=(",", ":")).encode()


def measure(route_count: int) -> Row:
    """Measure one size; call it in a process of its own, as it reports peak memory."""
    documents = [
        make_document(version, route_count, service)
        for version, service in ((1, "desk"), (2, "store"))
    ]
    document_bytes = len(documents[1])
    contents = []
    earlier: tuple[EarlierServices, ...] = ()
    began_at = time.process_time()
    previous = decode_accepted_configuration(documents[0])
    accept_began_at = time.process_time()
    decode_seconds = accept_began_at - began_at
    # Every route moves to the other service, so each has an earlier one.
    current = decode_accepted_configuration(documents[1])
    earlier = find_earlier_services(previous, earlier, current)
    for document, entries in zip(documents, ((), earlier), strict=True):
        compressed = zlib.compress(document, COMPRESSION_LEVEL)
        contents.append(encode_content(RoutingContent(compressed, entries)))
    accept_seconds = time.process_time() - accept_began_at
    del documents, previous, current, document, entries, earlier
    content_bytes = len(contents[1])
    return Row(
        route_count,
        document_bytes,
        content_bytes,
        -(-content_bytes // CHUNK_BYTES),
        content_bytes / SLOWEST_LINK_BYTES_PER_SECOND,
        decode_seconds,
        accept_seconds,
        _entry_megabytes(contents),
    )


def _entry_megabytes(contents: list[bytes]) -> float:
    """Return how much memory two configurations in turn add, in a new process."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(1) as pool:
        return pool.apply(_replace_configurations, (contents,))


def _replace_configurations(contents: list[bytes]) -> float:
    before = _peak_megabytes()
    table = RoutingTable()
    for encoded in contents:
        content = msgspec.msgpack.decode(encoded, type=RoutingContent)
        document = content.document
        assert document is not None
        table.update(decode_accepted_configuration(document), content.earlier_services)
    return _peak_megabytes() - before


def _peak_megabytes() -> float:
    # The peak that `getrusage` reports includes that of the parent process.
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / _KIBIBYTES_PER_MEGABYTE
    raise OSError("/proc/self/status names no peak memory; use Linux")


def largest_route_count() -> int:
    """Return how many routes the default limit of a configuration admits."""
    sample_routes = 1_000
    bytes_per_route = len(make_document(1, sample_routes, "desk")) / sample_routes
    return int(DEFAULT_DOCUMENT_BYTES / bytes_per_route / 100) * 100


def main() -> None:
    """Print a row for each size, the last one at the default limit."""
    limit = DEFAULT_DOCUMENT_BYTES / _BYTES_PER_MEGABYTE
    print(f"default limit: {limit:.0f} MiB")
    for route_count in (*ROUTE_COUNTS, largest_route_count()):
        print(measure(route_count), flush=True)


if __name__ == "__main__":
    main()
