"""Proxies that forward calls to control hosts and inject connection faults."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

from tests.soak.deployment import CONTROL_PORT, RUN_OCTET

DELAY_SECONDS = 0.6
UNRESPONSIVE_SECONDS = 5.0
CHUNK_BYTES = 65_536
# The value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionFault(Enum):
    """A fault that a proxy injects into new connections.

    `DELAYED` forwards after a delay, `RESET` resets the connection at once,
    `ANSWERS_LOST` forwards requests but discards the answers, and `UNRESPONSIVE`
    forwards nothing.
    """

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    ANSWERS_LOST = "answers lost"
    UNRESPONSIVE = "silent"


class ControlProxy:
    """Forward connections to one control host, with a fault injected on demand."""

    def __init__(self, number: int, host: str) -> None:
        self.address = f"127.34.{RUN_OCTET}.{number + 1}"
        self.fault = ConnectionFault.NONE
        self._host = host
        self._port = CONTROL_PORT
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept and forward connections."""
        self._server = await asyncio.start_server(
            self._handle_connection, self.address, CONTROL_PORT
        )

    def forward_to(self, port: int) -> None:
        """Forward to another port of the host."""
        self._port = port

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fault = self.fault
        try:
            if fault is ConnectionFault.RESET:
                _reset_on_close(writer)
            elif fault is ConnectionFault.UNRESPONSIVE:
                await asyncio.sleep(UNRESPONSIVE_SECONDS)
            else:
                await self._forward(reader, writer, fault)
        except (OSError, asyncio.CancelledError):
            # Either end may close at any time, and a run ends with calls in progress.
            return
        finally:
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: ConnectionFault,
    ) -> None:
        if fault is ConnectionFault.DELAYED:
            await asyncio.sleep(DELAY_SECONDS)
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self._host, self._port
        )
        request_copy = asyncio.get_running_loop().create_task(
            _copy(reader, upstream_writer)
        )
        try:
            if fault is ConnectionFault.ANSWERS_LOST:
                await _copy(upstream_reader, None)
                await asyncio.sleep(UNRESPONSIVE_SECONDS)
            else:
                await _copy(upstream_reader, writer)
        finally:
            request_copy.cancel()
            upstream_writer.close()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter | None
) -> None:
    while chunk := await reader.read(CHUNK_BYTES):
        if writer is not None:
            writer.write(chunk)
            await writer.drain()


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
