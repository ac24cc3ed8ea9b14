"""Data types shared by all packages."""

from .catalogue import (
    EMPTY_CATALOGUE,
    Catalogue,
    ClientAccount,
    Key,
    Route,
    Upstream,
)
from .configuration import (
    NO_CONFIGURATION,
    AccountQuota,
    CallerLimits,
    Configuration,
    HostRoute,
    RequestKind,
    UpstreamEntry,
    WeightedService,
)
from .effects import Effect, Event, Record, Send
from .instances import Instance, InstanceState, Sender, region_of
from .refusals import Refusal, RefusalKind, RunState
from .store_items import FIRST_ERA, StoreItem, StorePosition

__all__ = [
    "FIRST_ERA",
    "EMPTY_CATALOGUE",
    "NO_CONFIGURATION",
    "AccountQuota",
    "CallerLimits",
    "Catalogue",
    "ClientAccount",
    "Configuration",
    "Effect",
    "Event",
    "HostRoute",
    "Instance",
    "InstanceState",
    "Key",
    "Record",
    "Refusal",
    "RefusalKind",
    "RequestKind",
    "Route",
    "RunState",
    "Send",
    "Sender",
    "StoreItem",
    "StorePosition",
    "Upstream",
    "UpstreamEntry",
    "WeightedService",
    "region_of",
]
