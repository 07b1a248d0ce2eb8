"""Check the HTTP server of small hosts over loopback."""

from __future__ import annotations

import asyncio

from kingcuppulley.internal.asyncio_http import (
    MAXIMUM_BODY_BYTES,
    HttpRequest,
    listen_requests,
)

GET = b"GET /%b HTTP/1.1\r\nHost: host\r\n\r\n"
LONGEST_SECONDS = 20.0


def talk(handle, sent: bytes, answers: int | None) -> bytes:
    """Send bytes to a server and return what it answers, or all until it closes."""

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        server = await listen_requests(loop, "127.0.0.1", 0, handle)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        received = b""
        while answers is None or received.count(b"HTTP/1.1 ") < answers:
            chunk = await reader.read(1 << 16)
            if not chunk:
                break
            received += chunk
        writer.close()
        server.close()
        return received

    return asyncio.run(asyncio.wait_for(run(), LONGEST_SECONDS))


def echo(request: HttpRequest) -> None:
    request.answer(200, request.method + b" " + request.path, "text/plain")


def test_a_request_is_answered_and_the_connection_stays_open():
    answer = talk(echo, GET % b"one" + GET % b"two?x=1", 2)
    assert answer.endswith(b"GET /two")
    assert b"GET /oneHTTP/1.1 200 OK\r\n" in answer
    assert b"Connection: keep-alive" in answer


def test_answers_keep_the_order_of_their_requests():
    waiting: list[HttpRequest] = []

    def answer_backwards(request: HttpRequest) -> None:
        waiting.append(request)
        if len(waiting) == 2:
            for late in reversed(waiting):
                echo(late)

    answer = talk(answer_backwards, GET % b"one" + GET % b"two", 2)
    assert answer.index(b"GET /one") < answer.index(b"GET /two")


def test_a_caller_that_asks_for_it_is_closed_after_the_answer():
    request = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
    assert b"Connection: close" in talk(echo, request, None)


def test_bytes_that_are_no_request_end_the_connection():
    assert talk(echo, b"\x00\x01\x02 nothing\r\n\r\n", None) == b""


def test_a_body_that_is_too_large_ends_the_connection_and_reaches_nobody():
    seen: list[HttpRequest] = []
    size = MAXIMUM_BODY_BYTES + 1
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    try:
        answer = talk(seen.append, head + bytes(size), None)
    except ConnectionError:
        answer = b""
    assert answer == b""
    assert seen == []


def test_a_whole_body_arrives_in_one_piece():
    bodies: list[bytes] = []

    def take(request: HttpRequest) -> None:
        bodies.append(request.body)
        echo(request)

    body = bytes(range(256)) * 1024
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    talk(take, head + body, 1)
    assert bodies == [body]


def test_a_caller_that_is_gone_gets_no_answer():
    kept: list[HttpRequest] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await listen_requests(loop, "127.0.0.1", 0, kept.append)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET % b"one")
        while not kept:
            await asyncio.sleep(0)
        writer.close()
        while not kept[0].is_disconnected:
            await asyncio.sleep(0)
        kept[0].answer(200, b"", "text/plain")
        server.close()

    asyncio.run(asyncio.wait_for(run(), LONGEST_SECONDS))
    assert kept[0].is_disconnected


def test_a_handler_that_fails_is_told_to_the_loop_and_ends_the_connection():
    told: list[dict[str, object]] = []

    def fail(_: HttpRequest) -> None:
        raise ValueError("planted")

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: told.append(context))
        server = await listen_requests(loop, "127.0.0.1", 0, fail)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET % b"one")
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()
            server.close()

    assert asyncio.run(asyncio.wait_for(run(), LONGEST_SECONDS)) == b""
    assert len(told) == 1
