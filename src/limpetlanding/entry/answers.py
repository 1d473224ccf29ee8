"""Checks of job answers before they are passed on to a caller."""

from enum import StrEnum

from limpetlanding.jobs import Outcome, payloads_digest
from limpetlanding.wire import JobAnswer

_OUTCOMES = frozenset(('', *Outcome))


class AnswerFault(StrEnum):
    """Why an answer is dropped."""

    CROSSED = 'crossed'
    SHORT = 'short'
    DIGEST = 'digest'
    MALFORMED = 'malformed'
    LATE = 'late'


def answer_fault(
    answer: object, job_id: str, task_count: int | None = None
) -> AnswerFault | None:
    """Return why `answer` is not the whole answer of the job, or None.

    Parameters
    ----------
    answer : object
        Reply of the coordinator.
    job_id : str
        Id of the request that it should answer.
    task_count : int, optional
        Number of tasks submitted, if known here.

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
