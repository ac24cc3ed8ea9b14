"""Choose an upstream, reserve one of its slots and release it."""

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

from .concurrency_windows import after_response, after_shed, connection_limit, has_room
from .state import Distance, Reservation, RoutingState
from .subset import used_upstreams

__all__ = [
    "apply_catalogue",
    "connections_allowed",
    "release",
    "reserve",
    "reserve_probe",
]

HEALTHY_WEIGHT = 0.5
MIN_OWN_DOMAIN_UPSTREAMS = 3
MAX_NEAR_ATTEMPTS = 2
REGION_EXPLORATION_SHARE = 1 / 32
FAR_EXPLORATION_SHARE = 1 / 8
MIN_RETRY_DELAY_S = 0.1


def apply_catalogue(
    state: RoutingState, catalogue: Catalogue, now_s: float
) -> tuple[Effect, ...]:
    """Apply a new catalogue to routing and to the health of its upstreams.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    catalogue : Catalogue
        The catalogue to apply.
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
    """Choose an upstream for one attempt of a request and reserve a slot of it.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    route : Route
        Route of the request.
    failed_already : collection of str
        Upstreams of earlier attempts of the request.
    now_s : float
        Monotonic time in seconds.
    request_bytes : int
        Size of the request body in bytes.

    Returns
    -------
    Result of Reservation or Refusal
        ``NO_UPSTREAM`` if no eligible upstream is left to try, ``NO_SLOT`` if those
        left are all full or in backoff; in both cases the request was not run.

    Notes
    -----
    The instance's own failure domain is preferred, then its region, then other
    regions. If its failure domain has few upstreams, they are combined with the
    region. After two failed attempts, other regions are preferred. Within a tier,
    the less loaded of two weighted random choices is used [1]_.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized load
       balancing", IEEE Transactions on Parallel and Distributed Systems 12, 2001.
    """
    now_s = state.health.monotonic_time(now_s)
    candidates = _choose_tier(state, route.service, failed_already, now_s)
    if not candidates:
        return Err(_refuse(state, route.service, failed_already, now_s))
    weights = {name: health.weight(state.health, name, now_s) for name in candidates}
    name = _less_loaded(state, weights)
    reservation = _add_reservation(state, name, route.name)
    health.exchange_started(
        state.health,
        name,
        reservation.number,
        now_s,
        route=route.name,
        request_bytes=request_bytes,
    )
    return Ok(reservation)


def reserve_probe(
    state: RoutingState, upstream_name: str, now_s: float
) -> Result[Reservation, Refusal]:
    """Reserve a slot of one upstream for a probe.

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
        ``NO_UPSTREAM`` if it is unknown, ``NO_SLOT`` if it is full or in backoff.
    """
    if upstream_name not in state.health.upstreams:
        return Err(Refusal(RefusalKind.NO_UPSTREAM, RunState.NOT_RUN))
    if not _has_free_slot(state, upstream_name, state.health.monotonic_time(now_s)):
        return Err(_refuse_no_slot(state, [upstream_name], now_s))
    return Ok(_add_reservation(state, upstream_name, ""))


def release(
    state: RoutingState,
    reservation: Reservation,
    observation: health.Observation,
    now_s: float,
) -> tuple[Effect, ...]:
    """Release a slot and apply the observation that ended the exchange.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    reservation : Reservation
        Result of :func:`reserve` or :func:`reserve_probe`. Releasing it again has no
        effect.
    observation : Observation
        How the exchange ended.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of Effect
        Events for the time line.
    """
    if not state.remove_reservation(reservation):
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
    """Return the maximum number of connections of this instance to an upstream.

    Parameters
    ----------
    state : RoutingState
        Not changed.
    upstream_name : str
        Name of the upstream.

    Returns
    -------
    int
        0 for an upstream that the instance does not use.
    """
    record = state.health.upstreams.get(upstream_name)
    if record is None:
        return 0
    users = state.shares[record.upstream.service].users
    return connection_limit(record.upstream, users)


def _add_reservation(state, name, route_name):
    address = state.health.upstreams[name].upstream.address
    return state.add_reservation(name, address, route_name)


def _has_free_slot(state, name, now_s):
    slots = state.health.upstreams[name].upstream.slots
    return has_room(state.window(name), slots, state.in_flight(name), now_s)


def _refuse(state, service, failed_already, now_s):
    eligible = health.eligible_upstreams(state.health, service, now_s)
    untried = [name for name in eligible if name not in failed_already]
    if not untried:
        return Refusal(RefusalKind.NO_UPSTREAM, RunState.NOT_RUN)
    return _refuse_no_slot(state, untried, now_s)


def _refuse_no_slot(state, names, now_s):
    opens_at_s = min(state.window(name).closed_until_at_s for name in names)
    retry_at_s = max(opens_at_s, now_s + MIN_RETRY_DELAY_S)
    return Refusal(RefusalKind.NO_SLOT, RunState.NOT_RUN, retry_at_s=retry_at_s)


def _choose_tier(state, service, failed_already, now_s):
    """Return the candidates: usable upstreams at a similar distance.

    A small share of requests goes to the next tier although the nearer one is
    usable.
    """
    tiers = state.tiers(service)
    if len(failed_already) >= MAX_NEAR_ATTEMPTS:
        far = _usable_upstreams(
            state, tiers[Distance.OTHER_REGION], failed_already, now_s
        )
        if far:
            return far
    own = _usable_upstreams(state, tiers[Distance.OWN_DOMAIN], failed_already, now_s)
    region = _usable_upstreams(state, tiers[Distance.OWN_REGION], failed_already, now_s)
    if len(own) >= MIN_OWN_DOMAIN_UPSTREAMS and _has_healthy_upstream(
        state, own, now_s
    ):
        is_exploring = region and state.rng.random() < REGION_EXPLORATION_SHARE
        return region if is_exploring else own
    near = own + region
    if _has_healthy_upstream(state, near, now_s):
        return near
    far = _usable_upstreams(state, tiers[Distance.OTHER_REGION], failed_already, now_s)
    if not near or (far and state.rng.random() < FAR_EXPLORATION_SHARE):
        return far
    return near


def _usable_upstreams(state, names, failed_already, now_s):
    return [
        name
        for name in names
        if name not in failed_already
        and health.is_eligible(state.health, name, now_s)
        and _has_free_slot(state, name, now_s)
    ]


def _has_healthy_upstream(state, names, now_s):
    weights = (health.weight(state.health, name, now_s) for name in names)
    return any(weight >= HEALTHY_WEIGHT for weight in weights)


def _less_loaded(state, weights):
    """Return the less loaded of two weighted random choices, the first if equal."""
    first = _weighted_choice(state, weights)
    second = _weighted_choice(state, weights)
    return min(first, second, key=lambda name: _load(state, name, weights[name]))


def _weighted_choice(state, weights):
    remaining = state.rng.random() * sum(weights.values())
    for name, weight in weights.items():
        remaining -= weight
        if remaining < 0:
            return name
    return name


def _load(state, name, weight):
    slots = state.health.upstreams[name].upstream.slots
    return state.in_flight(name) / (slots * weight)


def _adapt_window(state, name, slots, observation, now_s):
    if isinstance(observation, health.Shed):
        jitter = state.rng.random()
        window = after_shed(state.window(name), slots, jitter, now_s)
        state.set_window(name, window)
    elif isinstance(observation, health.Answered):
        state.set_window(name, after_response(state.window(name), slots))
