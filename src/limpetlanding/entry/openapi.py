"""OpenAPI description of the caller API, built from its models.

``python -m limpetlanding.entry.openapi`` prints the text of
``docs/openapi.json``.
"""

import json
from typing import Any

from pydantic.json_schema import models_json_schema

from limpetlanding.entry.api import (
    MAX_BODY_BYTES,
    MAX_WAIT_MS,
    IdsAnswer,
    IdsBody,
    JobStatus,
    Problem,
    SubmitBody,
)

_REF = '#/components/schemas/{model}'
_JSON = 'application/json'
_PROBLEM = 'application/problem+json'

_DESCRIPTION = (
    'X-Request-Id is echoed and traceparent is propagated. '
    f'Bodies are at most {MAX_BODY_BYTES} bytes.'
)

_REQUEST_ERRORS = {
    400: 'Malformed; names the fields. The state of the id is unchanged.',
    401: 'Unknown customer key. The state of the id is unchanged.',
    403: 'Not allowed. The state of the id is unchanged unless outcome is '
    'not_run.',
    413: 'Too large. The state of the id is unchanged.',
}
_JOB_ERRORS = {
    409: 'The id belongs to a different job; its state is unchanged.',
    422: 'not_run; the job can never run.',
    429: 'not_run; over the limits of the contract. Has Retry-After.',
    502: 'failed; the fate of every task is known.',
    503: 'not_run; overload or endpoint away. Has Retry-After.',
    504: 'may_have_run; the fate of at least one task is unknown.',
}


def document() -> dict[str, Any]:
    """Return the OpenAPI document."""
    models = [
        (IdsBody, 'validation'),
        (SubmitBody, 'validation'),
        (IdsAnswer, 'serialization'),
        (JobStatus, 'serialization'),
        (Problem, 'serialization'),
    ]
    _, schemas = models_json_schema(models, ref_template=_REF)
    return {
        'openapi': '3.1.0',
        'info': {
            'title': 'limpetlanding caller API',
            'version': '1',
            'description': _DESCRIPTION,
        },
        'security': [{'customerKey': []}],
        'paths': {
            '/v1/ids': {'post': _post_ids()},
            '/v1/jobs': {'post': _post_job()},
            '/v1/jobs/{id}': {
                'parameters': [_id_parameter()],
                'get': _get_job(),
                'delete': _delete_job(),
            },
        },
        'components': {
            'securitySchemes': {
                'customerKey': {'type': 'http', 'scheme': 'bearer'}
            },
            'schemas': schemas['$defs'],
        },
    }


def text() -> str:
    """Return the text of ``docs/openapi.json``."""
    return f'{json.dumps(document(), indent=2)}\n'


def _post_ids() -> dict[str, Any]:
    return {
        'operationId': 'mintIds',
        'summary': 'Mint job ids.',
        'requestBody': _body('IdsBody'),
        'responses': {
            '200': _response('Fresh ids.', 'IdsAnswer'),
            **_errors(_REQUEST_ERRORS),
            **_errors({503: 'No agent that could coordinate jobs.'}),
        },
    }


def _post_job() -> dict[str, Any]:
    return {
        'operationId': 'submitJob',
        'summary': 'Submit a job, or join it if its id is known.',
        'requestBody': _body('SubmitBody'),
        'responses': {
            '200': _response('The job is complete.', 'JobStatus'),
            '202': _response(
                'The job runs: wait is false, or a task still runs at the '
                'deadline.',
                'JobStatus',
            ),
            **_errors(_REQUEST_ERRORS | _JOB_ERRORS),
        },
    }


def _get_job() -> dict[str, Any]:
    wait = {
        'name': 'wait_ms',
        'in': 'query',
        'schema': {'type': 'integer', 'minimum': 0, 'maximum': MAX_WAIT_MS},
    }
    return {
        'operationId': 'jobStatus',
        'summary': 'State of a job, after up to wait_ms.',
        'parameters': [wait],
        'responses': _state_responses(),
    }


def _delete_job() -> dict[str, Any]:
    return {
        'operationId': 'cancelJob',
        'summary': 'Cancel what has not started (idempotent).',
        'responses': _state_responses(),
    }


def _state_responses() -> dict[str, Any]:
    return {
        '200': _response('The outcome is decided.', 'JobStatus'),
        '202': _response('The job runs.', 'JobStatus'),
        **_errors(_REQUEST_ERRORS),
        **_errors(
            {
                404: 'No job was submitted under this id.',
                504: 'The coordinator did not answer in time.',
            }
        ),
    }


def _id_parameter() -> dict[str, Any]:
    return {
        'name': 'id',
        'in': 'path',
        'required': True,
        'schema': {'type': 'string'},
    }


def _body(model: str) -> dict[str, Any]:
    return {'required': True, 'content': _content(_JSON, model)}


def _response(description: str, model: str) -> dict[str, Any]:
    return {'description': description, 'content': _content(_JSON, model)}


def _errors(descriptions: dict[int, str]) -> dict[str, Any]:
    return {
        str(status): {
            'description': description,
            'content': _content(_PROBLEM, 'Problem'),
        }
        for status, description in descriptions.items()
    }


def _content(media_type: str, model: str) -> dict[str, Any]:
    return {media_type: {'schema': {'$ref': _REF.format(model=model)}}}


if __name__ == '__main__':
    print(text(), end='')
