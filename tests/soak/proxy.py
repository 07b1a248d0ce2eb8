"""Carry calls to control hosts over loopback, and spoil them as a run says."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import Enum

from tests.soak.deployment import CONTROL_PORT

DELAY_SECONDS = 0.6
SILENT_SECONDS = 5.0
PIECE_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Trouble(Enum):
    """Name what happens to a connection."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    ANSWERS_LOST = "answers lost"
    SILENT = "silent"


class ControlProxy:
    """Stand between callers and one control host."""

    def __init__(self, number: int, host: str) -> None:
        self.address = f"127.34.0.{number + 1}"
        self.trouble = Trouble.NONE
        self._host = host
        self._port = CONTROL_PORT
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to carry connections."""
        self._server = await asyncio.start_server(
            self._carry, self.address, CONTROL_PORT
        )

    def carry_for(self, port: int) -> None:
        """Carry to another port of the host."""
        self._port = port

    def stop(self) -> None:
        """Take no further connection."""
        if self._server is not None:
            self._server.close()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        trouble = self.trouble
        try:
            if trouble is Trouble.RESET:
                _reset(writer)
            elif trouble is Trouble.SILENT:
                await asyncio.sleep(SILENT_SECONDS)
            else:
                await self._pass_on(reader, writer, trouble)
        except (OSError, asyncio.CancelledError):
            # Either end may go at any moment, and a run ends with calls under way.
            return
        finally:
            writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        trouble: Trouble,
    ) -> None:
        if trouble is Trouble.DELAYED:
            await asyncio.sleep(DELAY_SECONDS)
        behind, ahead = await asyncio.open_connection(self._host, self._port)
        request = asyncio.get_running_loop().create_task(_pump(reader, ahead))
        try:
            if trouble is Trouble.ANSWERS_LOST:
                await _pump(behind, None)
                await asyncio.sleep(SILENT_SECONDS)
            else:
                await _pump(behind, writer)
        finally:
            request.cancel()
            ahead.close()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter | None
) -> None:
    while piece := await reader.read(PIECE_BYTES):
        if writer is not None:
            writer.write(piece)
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
