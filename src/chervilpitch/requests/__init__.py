"""At-most-once execution of non-idempotent requests, and retry decisions."""

from .at_most_once import (
    begin_request,
    issue_ticket,
    record_outcome,
    refuse_request,
    tick,
    update_instances,
)
from .digests import request_digest
from .hand_over import close_unused_tickets, hand_over, has_open_tickets, receive
from .messages import FinalOutcomes, FinalRecord
from .outcomes import Answered, NotRun, Outcome, Unknown, select_headers
from .records import MAX_BODY_BYTES, FirstRun, Recorded, TicketRecords
from .responses import (
    GO_TO_HEADER,
    REFUSAL_HEADER,
    REPLAYED_HEADER,
    RUN_HEADER,
    STATUS_BY_KIND,
    TICKET_HEADER,
    RefusalBody,
    Response,
    refusal_before_lookup,
    refusal_response,
    replay,
)
from .retries import Attempt, FailureStage, RetryBudget, RetryDenial, may_retry
from .tickets import Ticket, sign_ticket, verify_ticket

__all__ = [
    "Answered",
    "Attempt",
    "FailureStage",
    "FinalOutcomes",
    "FinalRecord",
    "FirstRun",
    "GO_TO_HEADER",
    "MAX_BODY_BYTES",
    "NotRun",
    "Outcome",
    "REFUSAL_HEADER",
    "REPLAYED_HEADER",
    "RUN_HEADER",
    "Recorded",
    "RefusalBody",
    "Response",
    "RetryBudget",
    "RetryDenial",
    "STATUS_BY_KIND",
    "TICKET_HEADER",
    "Ticket",
    "TicketRecords",
    "Unknown",
    "begin_request",
    "close_unused_tickets",
    "hand_over",
    "has_open_tickets",
    "issue_ticket",
    "may_retry",
    "receive",
    "record_outcome",
    "refusal_before_lookup",
    "refusal_response",
    "refuse_request",
    "replay",
    "request_digest",
    "select_headers",
    "sign_ticket",
    "tick",
    "update_instances",
    "verify_ticket",
]
