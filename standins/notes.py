"""Sections of release notes for demonstrations and tests."""

from .fleet import digest_of

__all__ = ["account", "key", "route", "seat", "upstream", "withdrawn_key"]


def seat(number, failure_domain):
    """Return a section that adds a seat."""
    return f"[added seat {number}]\nfailure-domain = {failure_domain}\n\n"


def account(name, rate_per_s, burst):
    """Return a section that adds a client account."""
    return f"[added account {name}]\nrate-per-s = {rate_per_s}\nburst = {burst}\n\n"


def key(text, account_name):
    """Return a section that adds a key."""
    return f"[added key {digest_of(text)}]\naccount = {account_name}\n\n"


def withdrawn_key(text):
    """Return a section that withdraws a key."""
    return f"[withdrawn key {digest_of(text)}]\n\n"


def route(name, prefix, service, idempotent, timeout_s=5):
    """Return a section that adds a route."""
    word = "yes" if idempotent else "no"
    return (
        f"[added route {name}]\nprefix = {prefix}\nservice = {service}\n"
        f"timeout-s = {timeout_s}\nidempotent = {word}\n\n"
    )


def upstream(name, service, address, failure_domain, slots=4):
    """Return a section that adds an upstream."""
    return (
        f"[added upstream {name}]\nservice = {service}\naddress = {address}\n"
        f"failure-domain = {failure_domain}\nslots = {slots}\nconnections = 330\n\n"
    )
