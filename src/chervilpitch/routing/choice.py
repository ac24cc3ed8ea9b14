"""Choose an upstream, take one of its slots and give it back."""

from collections.abc import Collection

from result import Err, Ok, Result

from chervilpitch import health
from chervilpitch.model import (
    Catalogue,
    Effect,
    Refusal,
    RefusalKind,
    Route,
    RunState,
)

from .budgets import after_answer, after_shed, connection_limit, room
from .state import Distance, Reservation, RoutingState
from .subset import used_upstreams

__all__ = [
    "connections_allowed",
    "apply_catalogue",
    "release",
    "reserve",
    "reserve_probe",
]

SOUND_WEIGHT = 0.5
OWN_DOMAIN_MIN = 3
NEAR_TRIES = 2
EXPLORE_SHARE = 1 / 32
FAR_EXPLORE_SHARE = 1 / 8
RETRY_GAP_S = 0.1


def apply_catalogue(
    state: RoutingState, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Follow a new catalogue, here and in the health of its upstreams.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    catalogue : Catalogue
        The catalogue now in force.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    shares = used_upstreams(catalogue, state.seat)
    state.set_catalogue(catalogue, shares)
    used = {u.name: u for share in shares.values() for u in share.upstreams}
    return health.apply_catalogue(
        state.health, catalogue._replace(upstreams=used), now_s
    )


def reserve(
    state: RoutingState,
    route: Route,
    failed_already: Collection[str],
    now_s: float,
    *,
    request_bytes: int = 0,
) -> Result[Reservation, Refusal]:
    """Choose an upstream for one try of a request and take a slot of it.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    route : Route
        Route of the request.
    failed_already : collection of str
        Upstreams that the request was tried at before.
    now_s : float
        Monotonic time in seconds.
    request_bytes : int
        Size of the request's body in bytes.

    Returns
    -------
    Result of Reservation or Refusal
        ``NO_UPSTREAM`` when none may be used, ``NO_SLOT`` when all that may be
        are full; both not run.

    Notes
    -----
    The own failure domain comes first, then the own region, then other regions.
    An own domain with few upstreams is taken together with the own region. Within
    one of these the less loaded of two random choices is taken [1]_.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems 12, 2001.
    """
    now_s = state.health.monotonic_time(now_s)
    ring = _pick_ring(state, route.service, failed_already, now_s)
    if not ring:
        return Err(_refusal(state, route.service, failed_already, now_s))
    weights = {name: health.weight(state.health, name, now_s) for name in ring}
    name = _less_loaded(state, weights)
    held = _take(state, name, route.name)
    health.exchange_started(
        state.health,
        name,
        held.number,
        now_s,
        route=route.name,
        request_bytes=request_bytes,
    )
    return Ok(held)


def reserve_probe(
    state: RoutingState, upstream_name: str, now_s: float
) -> Result[Reservation, Refusal]:
    """Take a slot of one upstream for a probe.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    upstream_name : str
        Name of the upstream.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    Result of Reservation or Refusal
        ``NO_UPSTREAM`` when it is unknown, ``NO_SLOT`` when it is full.
    """
    if upstream_name not in state.health.upstreams:
        return Err(Refusal(RefusalKind.NO_UPSTREAM, RunState.NOT_RUN))
    if not _has_room(state, upstream_name, state.health.monotonic_time(now_s)):
        return Err(_no_slot(state, [upstream_name], now_s))
    return Ok(_take(state, upstream_name, ""))


def release(
    state: RoutingState,
    reservation: Reservation,
    observation: health.Observation,
    now_s: float,
) -> tuple[Effect, ...]:
    """Give a slot back and take in how the exchange ended.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    reservation : Reservation
        What :func:`reserve` or :func:`reserve_probe` gave; a second release of it
        has no effect.
    observation : Observation
        How the exchange ended.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    if not state.remove(reservation):
        return ()
    now_s = state.health.monotonic_time(now_s)
    name = reservation.upstream
    record = state.health.upstreams.get(name)
    if record is not None:
        _adapt_window(state, name, record.upstream.slots, observation, now_s)
    if reservation.route:
        return health.exchange_finished(
            state.health, reservation.number, observation, now_s
        )
    return health.observe(state.health, name, observation, now_s)


def connections_allowed(state: RoutingState, upstream_name: str) -> int:
    """Return how many connections this instance may hold to an upstream.

    Parameters
    ----------
    state : RoutingState
        Not changed.
    upstream_name : str
        Name of the upstream.

    Returns
    -------
    int
        0 for one that the instance does not use.
    """
    record = state.health.upstreams.get(upstream_name)
    if record is None:
        return 0
    users = state.shares[record.upstream.service].users
    return connection_limit(record.upstream, users)


def _take(state, name, route_name):
    address = state.health.upstreams[name].upstream.address
    return state.add(name, address, route_name)


def _has_room(state, name, now_s):
    slots = state.health.upstreams[name].upstream.slots
    return room(state.window(name), slots, state.in_flight(name), now_s)


def _refusal(state, service, failed_already, now_s):
    eligible = health.eligible_upstreams(state.health, service, now_s)
    untried = [name for name in eligible if name not in failed_already]
    if not untried:
        return Refusal(RefusalKind.NO_UPSTREAM, RunState.NOT_RUN)
    return _no_slot(state, untried, now_s)


def _no_slot(state, names, now_s):
    opens_at_s = min(state.window(name).closed_until_at_s for name in names)
    retry_at_s = max(opens_at_s, now_s + RETRY_GAP_S)
    return Refusal(RefusalKind.NO_SLOT, RunState.NOT_RUN, retry_at_s=retry_at_s)


def _pick_ring(state, service, failed_already, now_s):
    """Return the upstreams to choose from, all about equally far."""
    rings = state.rings(service)
    if len(failed_already) >= NEAR_TRIES:
        far = _usable(state, rings[Distance.OTHER_REGION], failed_already, now_s)
        if far:
            return far
    own = _usable(state, rings[Distance.OWN_DOMAIN], failed_already, now_s)
    region = _usable(state, rings[Distance.OWN_REGION], failed_already, now_s)
    if len(own) >= OWN_DOMAIN_MIN and _is_sound(state, own, now_s):
        explores = region and state.rng.random() < EXPLORE_SHARE
        return region if explores else own
    near = own + region
    if _is_sound(state, near, now_s):
        return near
    far = _usable(state, rings[Distance.OTHER_REGION], failed_already, now_s)
    if not near or (far and state.rng.random() < FAR_EXPLORE_SHARE):
        return far
    return near


def _usable(state, names, failed_already, now_s):
    return [
        name
        for name in names
        if name not in failed_already
        and health.is_eligible(state.health, name, now_s)
        and _has_room(state, name, now_s)
    ]


def _is_sound(state, names, now_s):
    weights = (health.weight(state.health, name, now_s) for name in names)
    return any(share >= SOUND_WEIGHT for share in weights)


def _less_loaded(state, weights):
    """Return the less loaded of two draws, the first of equal ones."""
    first = _draw(state, weights)
    second = _draw(state, weights)
    return min(first, second, key=lambda name: _load(state, name, weights[name]))


def _draw(state, weights):
    left = state.rng.random() * sum(weights.values())
    for name, share in weights.items():
        left -= share
        if left < 0:
            return name
    return name


def _load(state, name, share):
    slots = state.health.upstreams[name].upstream.slots
    return state.in_flight(name) / (slots * share)


def _adapt_window(state, name, slots, observation, now_s):
    if isinstance(observation, health.Shed):
        jitter = state.rng.random()
        window = after_shed(state.window(name), slots, jitter, now_s)
        state.set_window(name, window)
    elif isinstance(observation, health.Answered):
        state.set_window(name, after_answer(state.window(name), slots))
