"""Base errors: each carries the step and the peer at which it arose."""


class LimpetlandingError(Exception):
    """Base of all errors that the package raises on purpose.

    Parameters
    ----------
    detail : str
        What went wrong, in one sentence.
    step : str
        The step of the request or of the protocol, such as ``submit``.
    peer : str
        The node, address or file at the other side; empty if there is none.

    Examples
    --------
    >>> str(LimpetlandingError('no answer', step='submit', peer='agent-3'))
    'no answer (step submit, peer agent-3)'
    """

    def __init__(self, detail: str, *, step: str, peer: str = '') -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f'step {self.step}'
        if self.peer:
            where = f'{where}, peer {self.peer}'
        return f'{self.detail} ({where})'


class PeerLost(LimpetlandingError):
    """The peer's incarnation is gone; the fate of the request is unknown."""


class RequestTimeout(LimpetlandingError):
    """No answer within the timeout; the fate of the request is unknown."""


class ProtocolError(LimpetlandingError):
    """A frame or message breaks the internal protocol."""
