"""Adapter to the users' platform: its names and encodings stand here alone."""

from .bounds import SETTINGS_VARIABLE, Bounds, decode_bounds
from .callers import PresentedFacts, answer_headers, caller_facts, refusal_headers
from .configuration import decode_configuration
from .directory import (
    READY_PATH,
    RESOLVE_PATH,
    ResolveQuestion,
    encode_addresses,
    parse_resolve,
)
from .entries import CONFIGURATION_KEY, ENTRY_PREFIX, decode_entry
from .store import (
    StoreChanges,
    StoreProblem,
    key_target,
    parse_key,
    parse_range,
    parse_watch,
    range_target,
    watch_target,
)
from .upstreams import AnswerFacts, answer_facts, upstream_headers

__all__ = [
    "CONFIGURATION_KEY",
    "ENTRY_PREFIX",
    "READY_PATH",
    "RESOLVE_PATH",
    "SETTINGS_VARIABLE",
    "AnswerFacts",
    "Bounds",
    "PresentedFacts",
    "ResolveQuestion",
    "StoreChanges",
    "StoreProblem",
    "answer_facts",
    "answer_headers",
    "caller_facts",
    "decode_bounds",
    "decode_configuration",
    "decode_entry",
    "encode_addresses",
    "key_target",
    "parse_key",
    "parse_range",
    "parse_resolve",
    "parse_watch",
    "range_target",
    "refusal_headers",
    "upstream_headers",
    "watch_target",
]
