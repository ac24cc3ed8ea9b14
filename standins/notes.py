"""Text of release note sections for demonstrations and tests."""

from .fleet import key_digest

__all__ = ["account", "key", "route", "seat", "upstream", "withdrawn_key"]


def seat(number, failure_domain):
    """Return a section that adds a seat."""
    return f"[added seat {number}]\nfailure-domain = {failure_domain}\n\n"


def account(name, rate_per_s, burst):
    """Return a section that adds a client account."""
    return f"[added account {name}]\nrate-per-s = {rate_per_s}\nburst = {burst}\n\n"


def key(api_key, account_name):
    """Return a section that adds an API key."""
    return f"[added key {key_digest(api_key)}]\naccount = {account_name}\n\n"


def withdrawn_key(api_key):
    """Return a section that withdraws an API key."""
    return f"[withdrawn key {key_digest(api_key)}]\n\n"


def route(name, prefix, service, idempotent, timeout_s=5):
    """Return a section that adds a route."""
    idempotent_value = "yes" if idempotent else "no"
    return (
        f"[added route {name}]\nprefix = {prefix}\nservice = {service}\n"
        f"timeout-s = {timeout_s}\nidempotent = {idempotent_value}\n\n"
    )


def upstream(name, service, address, failure_domain, slots=4):
    """Return a section that adds an upstream."""
    return (
        f"[added upstream {name}]\nservice = {service}\naddress = {address}\n"
        f"failure-domain = {failure_domain}\nslots = {slots}\nconnections = 330\n\n"
    )
