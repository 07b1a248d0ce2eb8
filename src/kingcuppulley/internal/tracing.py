"""Record a span for each step of a request, and propagate its trace."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol, TextIO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    ConsoleSpanExporter,
    SimpleSpanProcessor,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

TRACE_HEADER = "traceparent"


class Span(Protocol):
    """Time one step of a request."""

    @property
    def header(self) -> str | None:
        """Return the trace header to send to the next process, or None."""

    def child(self, name: str) -> Span:
        """Start a span within this one."""

    def end(self, result: str) -> None:
        """End the span with its result."""


class Tracer(Protocol):
    """Start the span of each request."""

    def begin(self, name: str, header: str | None) -> Span:
        """Start a span, within the caller's trace if its header names one."""


class NoSpan:
    """Record nothing, and forward the caller's trace header unchanged."""

    __slots__ = ("_header",)

    def __init__(self, header: str | None) -> None:
        self._header = header

    @property
    def header(self) -> str | None:
        """Return the header that the caller sent."""
        return self._header

    def child(self, name: str) -> Span:
        """Return this span."""
        return self

    def end(self, result: str) -> None:
        """Do nothing."""


class NoTracer:
    """Record no spans."""

    def begin(self, name: str, header: str | None) -> Span:
        """Return a span that only forwards the header."""
        return NoSpan(header)


class FileSpan:
    """Record one span with the OpenTelemetry library."""

    __slots__ = ("_tracer", "_span")

    def __init__(self, tracer: trace.Tracer, span: trace.Span) -> None:
        self._tracer = tracer
        self._span = span

    @property
    def header(self) -> str | None:
        """Return the trace header to send to the next process."""
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(self._span)
        TraceContextTextMapPropagator().inject(carrier, context)
        return carrier.get(TRACE_HEADER)

    def child(self, name: str) -> Span:
        """Start a span within this one."""
        context = trace.set_span_in_context(self._span)
        return FileSpan(self._tracer, self._tracer.start_span(name, context))

    def end(self, result: str) -> None:
        """End the span and write it with its result."""
        self._span.set_attribute("result", result)
        self._span.end()


class FileTracer:
    """Write spans to a file, one JSON object per line."""

    def __init__(self, host: str, file: Path) -> None:
        self._file: TextIO = file.open("a")
        exporter = ConsoleSpanExporter(
            out=self._file, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        resource = Resource.create({"service.name": "kingcuppulley", "host.name": host})
        provider = TracerProvider(resource=resource)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("kingcuppulley")

    def begin(self, name: str, header: str | None) -> Span:
        """Start a span, within the caller's trace if its header names one."""
        carrier = {TRACE_HEADER: header} if header else {}
        context = TraceContextTextMapPropagator().extract(carrier)
        return FileSpan(self._tracer, self._tracer.start_span(name, context))
