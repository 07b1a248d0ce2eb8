"""Check the asyncio HTTP server over loopback."""

from __future__ import annotations

import asyncio

from kingcuppulley.internal.asyncio_http import (
    DEFAULT_BODY_BYTES,
    MAXIMUM_DROPPED_BYTES,
    HttpRequest,
    listen_requests,
)

GET = b"GET /%b HTTP/1.1\r\nHost: host\r\n\r\n"
TIMEOUT_SECONDS = 20.0


def exchange(handle, sent: bytes, answer_count: int | None) -> bytes:
    """Send bytes to a server and return the bytes it answers.

    Reading ends after `answer_count` answers.  If the count is None, it ends when the
    server closes the connection.
    """

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        server = await listen_requests(loop, "127.0.0.1", 0, handle)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        received = b""
        while answer_count is None or received.count(b"HTTP/1.1 ") < answer_count:
            chunk = await reader.read(1 << 16)
            if not chunk:
                break
            received += chunk
        writer.close()
        server.close()
        return received

    return asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))


def echo_method_and_path(request: HttpRequest) -> None:
    request.answer(200, request.method + b" " + request.path, "text/plain")


def test_a_request_is_answered_and_the_connection_stays_open():
    answer = exchange(echo_method_and_path, GET % b"one" + GET % b"two?x=1", 2)
    assert answer.endswith(b"GET /two")
    assert b"GET /oneHTTP/1.1 200 OK\r\n" in answer
    assert b"Connection: keep-alive" in answer


def test_answers_keep_the_order_of_their_requests():
    pending: list[HttpRequest] = []

    def answer_in_reverse(request: HttpRequest) -> None:
        pending.append(request)
        if len(pending) == 2:
            for pending_request in reversed(pending):
                echo_method_and_path(pending_request)

    answer = exchange(answer_in_reverse, GET % b"one" + GET % b"two", 2)
    assert answer.index(b"GET /one") < answer.index(b"GET /two")


def test_a_connection_is_closed_after_the_answer_if_the_client_asks_for_it():
    request = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
    assert b"Connection: close" in exchange(echo_method_and_path, request, None)


def test_a_malformed_request_closes_the_connection():
    assert exchange(echo_method_and_path, b"\x00\x01\x02 nothing\r\n\r\n", None) == b""


def test_a_body_that_is_too_large_is_answered_with_the_limit_and_not_handled():
    # Guards against an operator that cannot tell a refusal from a lost answer, and
    # sends the configuration again and again.
    handled: list[HttpRequest] = []
    body_bytes = DEFAULT_BODY_BYTES + 1
    header = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % body_bytes
    answer = exchange(handled.append, header + bytes(body_bytes), 1)
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"at most %d bytes" % DEFAULT_BODY_BYTES in answer
    assert handled == []


def test_a_body_without_an_end_closes_the_connection():
    # Guards against a caller that keeps a control host busy with one request.
    handled: list[HttpRequest] = []
    body_bytes = DEFAULT_BODY_BYTES + MAXIMUM_DROPPED_BYTES + 1
    header = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (2 * body_bytes)
    try:
        answer = exchange(handled.append, header + bytes(body_bytes), None)
    except ConnectionError:
        answer = b""
    assert answer == b""
    assert handled == []


def test_a_body_that_arrives_in_parts_is_handled_complete():
    bodies: list[bytes] = []

    def handle(request: HttpRequest) -> None:
        bodies.append(request.body)
        echo_method_and_path(request)

    body = bytes(range(256)) * 1024
    header = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    exchange(handle, header + body, 1)
    assert bodies == [body]


def test_answering_a_disconnected_client_has_no_effect():
    requests: list[HttpRequest] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await listen_requests(loop, "127.0.0.1", 0, requests.append)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET % b"one")
        while not requests:
            await asyncio.sleep(0)
        writer.close()
        while not requests[0].is_disconnected:
            await asyncio.sleep(0)
        requests[0].answer(200, b"", "text/plain")
        server.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))
    assert requests[0].is_disconnected


def test_a_handler_that_fails_is_reported_to_the_loop_and_closes_the_connection():
    reported: list[dict[str, object]] = []

    def fail(_: HttpRequest) -> None:
        raise ValueError("injected failure")

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
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

    assert asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS)) == b""
    assert len(reported) == 1


def test_a_caller_waits_from_the_opening_of_its_connection():
    # Guards against taking a call for new whose bytes the network held up; later calls
    # of a connection begin when they are read, however long it was idle.
    times = iter(range(1, 100))
    began: list[float] = []

    def record(request: HttpRequest) -> None:
        began.append(request.began_at)
        echo_method_and_path(request)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await listen_requests(
            loop, "127.0.0.1", 0, record, lambda: float(next(times))
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for path in (b"first", b"second", b"third"):
            writer.write(GET % path)
            await reader.readuntil(b"GET /" + path)
        writer.close()
        server.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))
    # The clock is read when the connection opens, and for each later request.
    assert began == [1.0, 2.0, 3.0]
