"""Job ids, which contain the incarnation of the coordinator of the job."""

import hmac
import re
import secrets
from dataclasses import dataclass
from hashlib import sha256

_INCARNATION_BYTES = 8
_MAC_HEX_CHARS = 16
_PATTERN = re.compile(r'([0-9a-f]{16})\.([1-9][0-9]{0,17})\.([0-9a-f]{16})')


class InvalidJobId(ValueError):
    """The text is not a job id."""


@dataclass(frozen=True, slots=True)
class JobId:
    """Parsed job id.

    Parameters
    ----------
    incarnation : str
        Incarnation of the coordinator, 16 hexadecimal characters.
    sequence : int
        Number of the id within the incarnation, starting at 1.
    mac : str
        Message authentication code over customer and sequence,
        16 hexadecimal characters.
    """

    incarnation: str
    sequence: int
    mac: str

    def __str__(self) -> str:
        return f'{self.incarnation}.{self.sequence}.{self.mac}'


def new_incarnation() -> str:
    """Return a random incarnation, 16 hexadecimal characters."""
    return secrets.token_hex(_INCARNATION_BYTES)


def mint_job_id(
    incarnation: str, sequence: int, customer: str, secret: bytes
) -> JobId:
    """Return an id that only `customer` may use, for one job.

    Examples
    --------
    >>> job_id = mint_job_id('9f2c0a1b44d0e6aa', 7, 'dispatch', b'secret')
    >>> verify_job_id(job_id, 'dispatch', b'secret')
    True
    >>> verify_job_id(job_id, 'someone-else', b'secret')
    False
    """
    return JobId(incarnation, sequence, _mac(sequence, customer, secret))


def parse_job_id(text: str) -> JobId:
    """Return the job id that `text` represents.

    Raises
    ------
    InvalidJobId
        If `text` is not ``<incarnation>.<sequence>.<mac>``.

    Examples
    --------
    >>> parse_job_id('9f2c0a1b44d0e6aa.7.0123456789abcdef').sequence
    7
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise InvalidJobId('not a job id: <incarnation>.<sequence>.<mac>')
    return JobId(match[1], int(match[2]), match[3])


def verify_job_id(job_id: JobId, customer: str, secret: bytes) -> bool:
    """Return whether the id was minted for `customer` with `secret`."""
    expected = _mac(job_id.sequence, customer, secret)
    return hmac.compare_digest(expected, job_id.mac)


def _mac(sequence: int, customer: str, secret: bytes) -> str:
    text = f'{sequence}:{customer}'.encode()
    return hmac.new(secret, text, sha256).hexdigest()[:_MAC_HEX_CHARS]
