"""Options of a node."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random


@dataclass(slots=True)
class Timing:
    """Time limits of links and peers, in seconds.

    Parameters
    ----------
    heartbeat_s : float
        A heartbeat is sent when no other frame has been sent for this long.
    digest_s : float
        A heartbeat is sent at least this often, even on a busy link, because
        it carries the configuration digest.
    silence_s : float
        A link that has received nothing for this long is dropped.
    suspect_s : float
        A peer that has sent nothing for this long is suspect and gets no new
        work.
    idle_slowdown : float
        Factor by which `heartbeat_s`, `silence_s` and `suspect_s` are longer
        on an idle link, on which no request is in progress and neither end
        has work of the other. Both ends have to support it.
    down_s : float
        A peer that has had no link for this long is reported as down. A peer
        without a link whose address has refused connections for this long is
        gone: its channel is closed.
    hello_s : float
        Time limit for opening a connection, and again for the first frame.
    redial_min_s, redial_max_s : float
        Range of the back-off between attempts to connect.
    forget_s : float
        The channel of a peer that has had no link for this long is closed.
    drain_s : float
        Time limit for requests in progress when the node stops, and again for
        closing the links.
    max_suspension_s : float
        If the process has been suspended for longer, a link is dropped with
        the data that it has received meanwhile, because the peer may have
        abandoned those requests.
    """

    heartbeat_s: float = 0.5
    digest_s: float = 2
    silence_s: float = 1.5
    suspect_s: float = 1
    idle_slowdown: float = 1
    down_s: float = 4
    hello_s: float = 1.5
    redial_min_s: float = 0.05
    redial_max_s: float = 1
    forget_s: float = 600
    drain_s: float = 10
    max_suspension_s: float = inf


@dataclass(slots=True)
class NodeOptions:
    """Options of a `Node`.

    Parameters
    ----------
    listen : str
        ``host:port`` to listen at; ``hello.address`` if empty.
    timing : Timing
        Time limits.
    emulated_delay_ms : callable, optional
        Returns the one-way delay between two failure domains in milliseconds,
        which the benchmark adds to received frames.
    server_tls, client_tls : ssl.SSLContext, optional
        TLS contexts for accepted and dialed connections; without one they are
        in clear text.
    clock : callable, optional
        Returns a time in seconds that advances while the process is
        suspended; the time of the event loop if not given.
    rng : random.Random
        Random generator for the jitter between attempts to connect.
    """

    listen: str = ''
    timing: Timing = field(default_factory=Timing)
    emulated_delay_ms: Callable[[str, str], float] | None = None
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    clock: Callable[[], float] | None = None
    rng: Random = field(default_factory=Random)
