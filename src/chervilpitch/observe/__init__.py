"""Metrics, logs and the time line of events."""

from .clock import Clock, ClockTooFarAhead, Stamp, merge, stamp, tick
from .log_stream import BoundedLogStream
from .logs import LogFormat, SecretRegister, configure_logs, part_logger
from .metrics import AccountCount, Metrics, RequestOutcome, TopAccounts
from .picture import render_html, render_svg
from .render import render_text
from .timeline import (
    BadLine,
    Chunk,
    Gap,
    StampedEvent,
    Timeline,
    decode_events,
    encode_events,
    merge_events,
)

__all__ = [
    "BoundedLogStream",
    "AccountCount",
    "BadLine",
    "Chunk",
    "Clock",
    "ClockTooFarAhead",
    "Gap",
    "LogFormat",
    "Metrics",
    "RequestOutcome",
    "SecretRegister",
    "Stamp",
    "StampedEvent",
    "Timeline",
    "TopAccounts",
    "configure_logs",
    "decode_events",
    "encode_events",
    "merge",
    "merge_events",
    "part_logger",
    "render_html",
    "render_svg",
    "render_text",
    "stamp",
    "tick",
]
