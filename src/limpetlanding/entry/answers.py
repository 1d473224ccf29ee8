"""Validation of job answers before they are sent to a caller."""

from enum import StrEnum

from limpetlanding.jobs import Outcome, payloads_digest
from limpetlanding.wire.job_messages import JobAnswer

_OUTCOMES = frozenset(('', *Outcome))


class AnswerFault(StrEnum):
    """Why an answer is dropped.

    The answer belongs to another job (crossed), has missing or reordered
    results (short), does not match its digest (digest), is not defined by
    the protocol (malformed), or arrived after its request ended (late).
    """

    CROSSED = 'crossed'
    SHORT = 'short'
    DIGEST = 'digest'
    MALFORMED = 'malformed'
    LATE = 'late'


def answer_fault(
    answer: object, job_id: str, task_count: int | None = None
) -> AnswerFault | None:
    """Return why `answer` must be dropped, or None if it is valid.

    Parameters
    ----------
    answer : object
        Reply of the coordinator.
    job_id : str
        Job id of the request.
    task_count : int, optional
        Number of tasks submitted, if the entry knows it.

    Examples
    --------
    >>> answer_fault(JobAnswer('a', 'complete', task_count=1), 'a')
    <AnswerFault.SHORT: 'short'>
    """
    if not isinstance(answer, JobAnswer) or answer.outcome not in _OUTCOMES:
        return AnswerFault.MALFORMED
    if answer.job_id != job_id:
        return AnswerFault.CROSSED
    if answer.outcome != Outcome.COMPLETE:
        return None
    expected = answer.task_count if task_count is None else task_count
    indices = [result.index for result in answer.results]
    if answer.task_count != expected or indices != list(range(expected)):
        return AnswerFault.SHORT
    payloads = (result.payload for result in answer.results)
    if payloads_digest(payloads) != answer.digest:
        return AnswerFault.DIGEST
    return None
