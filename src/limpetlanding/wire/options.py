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
        A heartbeat is sent after this time without another frame.
    digest_s : float
        A heartbeat is sent at least this often, even on a busy link,
        because it carries the configuration digest.
    silence_s : float
        A link that has received nothing for this long is dropped.
    suspect_s : float
        A peer that has sent nothing for this long gets no new work.
    down_s : float
        A peer without any link for this long is reported as down. A peer
        whose address refuses connections for this long is gone.
    hello_s : float
        Longest wait for a connection and the first frame.
    redial_min_s, redial_max_s : float
        Range of the back-off between attempts to connect.
    forget_s : float
        A peer that has been down for this long is forgotten.
    drain_s : float
        Longest wait for requests in progress when the node stops.
    max_suspension_s : float
        A link is dropped with what it has received if its process has stood
        still for longer; the peer may have given up what it asked for.
    """

    heartbeat_s: float = 0.5
    digest_s: float = 2
    silence_s: float = 1.5
    suspect_s: float = 1
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
        ``host:port`` to listen at; empty for ``hello.address``.
    timing : Timing
        Time limits.
    emulated_delay_ms : callable, optional
        One-way delay between two failure domains, for the benchmark.
    server_tls, client_tls : ssl.SSLContext, optional
        Contexts for accepted and dialed connections.
    clock : callable, optional
        Returns seconds that go on while the process stands still; the time of
        the event loop if not given.
    rng : random.Random
        Source of the jitter between attempts to connect.
    """

    listen: str = ''
    timing: Timing = field(default_factory=Timing)
    emulated_delay_ms: Callable[[str, str], float] | None = None
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    clock: Callable[[], float] | None = None
    rng: Random = field(default_factory=Random)
