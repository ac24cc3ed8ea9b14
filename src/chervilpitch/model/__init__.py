"""Vocabulary shared by every part: plain data without behaviour."""

from .catalogue import (
    EMPTY_CATALOGUE,
    Catalogue,
    ClientAccount,
    Key,
    Route,
    Upstream,
)
from .effects import Effect, Event, Record, Send
from .instances import Instance, InstanceState, Sender, region_of
from .refusals import Refusal, RefusalKind, RunState

__all__ = [
    "EMPTY_CATALOGUE",
    "Catalogue",
    "ClientAccount",
    "Effect",
    "Event",
    "Instance",
    "InstanceState",
    "Key",
    "Record",
    "Refusal",
    "RefusalKind",
    "Route",
    "RunState",
    "Send",
    "Sender",
    "Upstream",
    "region_of",
]
