"""Adapter to the platform: the only package with its wire names and encodings."""

from .bounds import SETTINGS_VARIABLE, Bounds, decode_bounds
from .callers import (
    RequestMetadata,
    parse_request_metadata,
    refusal_headers,
    response_headers,
)
from .configuration import decode_configuration
from .directory import (
    READY_PATH,
    RESOLVE_PATH,
    ResolveQuery,
    encode_addresses,
    parse_resolve,
)
from .entries import CONFIGURATION_KEY, ENTRY_PREFIX, decode_entry
from .store import (
    StoreProblem,
    StoreResponse,
    key_target,
    parse_era,
    parse_key,
    parse_range,
    parse_watch,
    range_target,
    watch_target,
)
from .upstreams import ResponseMetadata, parse_response_metadata, upstream_headers

__all__ = [
    "CONFIGURATION_KEY",
    "ENTRY_PREFIX",
    "READY_PATH",
    "RESOLVE_PATH",
    "SETTINGS_VARIABLE",
    "Bounds",
    "RequestMetadata",
    "ResolveQuery",
    "ResponseMetadata",
    "StoreProblem",
    "StoreResponse",
    "decode_bounds",
    "decode_configuration",
    "decode_entry",
    "encode_addresses",
    "key_target",
    "parse_era",
    "parse_key",
    "parse_range",
    "parse_request_metadata",
    "parse_resolve",
    "parse_response_metadata",
    "parse_watch",
    "range_target",
    "refusal_headers",
    "response_headers",
    "upstream_headers",
    "watch_target",
]
