"""Base errors, which name the step and the peer that they concern."""


class LimpetlandingError(Exception):
    """Base class of the errors that the package defines.

    Parameters
    ----------
    detail : str
        Description of the error, in one sentence.
    step : str
        The step of the request or of the protocol, such as ``submit``.
    peer : str
        The node, address or file that the error concerns; empty if there is
        none.

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
    """The peer's incarnation has ended or cannot be reached.

    It is unknown whether the peer handled the request.
    """


class RequestTimeout(LimpetlandingError):
    """The peer did not answer within the timeout.

    It is unknown whether the peer handled the request.
    """


class RequestWithdrawn(LimpetlandingError):
    """The request was no longer wanted before it could be sent.

    Parameters
    ----------
    sent : bool
        Whether it was sent before, over a link that was lost, so that the peer
        may have handled it.
    """

    def __init__(
        self, detail: str, *, step: str, peer: str = '', sent: bool
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent


class ProtocolError(LimpetlandingError):
    """A frame or message violates the internal protocol."""
