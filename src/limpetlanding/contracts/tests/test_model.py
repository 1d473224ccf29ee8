import json

import pytest

from limpetlanding.contracts import (
    InvalidRecord,
    diff,
    hash_key,
    parse_contract,
    parse_record,
)
from limpetlanding.settings import DocumentError

CONTRACT = {
    'customer': 'apples',
    'keys': [hash_key('k')],
    'limits': {'tasks_at_once': 8, 'tasks_per_second': 100},
    'answer_within_ms': 500,
    'may_refuse': ['overload'],
    'kinds': ['*'],
    'peak_share': 0.5,
    'max_task_size': 10,
}
RECORD = {
    'record_id': 'a',
    'customer': 'apples',
    'base_version': 0,
    'version': 1,
    'rules': 1,
    'contract': CONTRACT,
    'author': 'ana',
    'kind': 'contract',
}


def problems_of(text):
    with pytest.raises(DocumentError) as caught:
        parse_contract(text, 'apples.json')
    return caught.value.problems


class TestContract:
    def test_valid_contract_is_parsed(self):
        contract = parse_contract(json.dumps(CONTRACT), 'apples.json')
        assert contract.allows('anything')

    def test_wrong_unit_names_file_line_field_and_unit(self):
        text = json.dumps(CONTRACT, indent=1).replace(
            '"answer_within_ms": 500', '// short\n"answer_within_s": 0.5'
        )
        wrong, missing = sorted(problems_of(text), key=lambda p: p.detail)[::-1]
        assert str(wrong).startswith('apples.json:11: answer_within_s: ')
        assert wrong.unit == 'milliseconds'
        assert missing.key == 'answer_within_ms'

    @pytest.mark.parametrize(
        ('field', 'value'),
        [
            ('customer', 'аpples'),  # noqa: RUF001 (Cyrillic letter)
            ('customer', 'a' * 65),
            ('customer', 'apples\n'),
            ('customer', '../apples'),
            ('keys', []),
            ('keys', ['k']),
            ('keys', [hash_key('k')] * 2),
            ('keys', [hash_key(str(n)) for n in range(33)]),
            ('limits', {'tasks_at_once': 8}),
            ('limits', {'tasks_at_once': True, 'tasks_per_second': 1}),
            ('limits', {'tasks_at_once': 8, 'tasks_per_second': 1e300}),
            ('answer_within_ms', '500ms'),
            ('answer_within_ms', -1),
            ('may_refuse', ['everything']),
            ('kinds', ['*', 'quote']),
            ('kinds', ['\x00']),
            ('kinds', 'quote'),
            ('peak_share', 0),
            ('peak_share', 50),
            ('max_task_size', 10**30),
            ('unknown', 1),
        ],
    )
    def test_hostile_value_is_refused(self, field, value):
        text = json.dumps(CONTRACT | {field: value})
        assert all(p.file == 'apples.json' for p in problems_of(text))

    @pytest.mark.parametrize(
        'text',
        [
            '',
            '[]',
            'null',
            '{"peak_share": NaN}',
            '{"a": "\ud800"}',
            '[' * 60_000,
            '{"a": "' + 'x' * 70_000 + '"}',
            '{"limits": {"tasks_at_once": 1, "tasks_at_once": 9}}',
            '/* ' * 20_000,
            '\\"' * 30_000,
            '"\\',
            '/*/',
            '{"customer": "a",}}',
        ],
    )
    def test_hostile_text_is_refused(self, text):
        # Guards against text that crashes the parser or makes it very slow.
        assert problems_of(text)

    def test_diff_names_nested_fields(self):
        new = CONTRACT | {'limits': {'tasks_at_once': 9}}
        changed = [change.field for change in diff(CONTRACT, new)]
        assert changed == ['limits.tasks_at_once', 'limits.tasks_per_second']


def nested(depth):
    value = 1
    for _ in range(depth):
        value = [value]
    return value


class TestRecord:
    def test_round_trip(self):
        record = parse_record(RECORD)
        assert parse_record(record.body()) == record

    @pytest.mark.parametrize(
        'body',
        [
            None,
            [],
            'text',
            RECORD | {'version': 2},
            RECORD | {'version': '1'},
            RECORD | {'base_version': -1, 'version': 0},
            RECORD | {'kind': 'other'},
            RECORD | {'kind': 'restatement'},
            RECORD | {'contract': nested(2000)},
            RECORD | {'contract': {'a': nested(20)}},
            RECORD | {'contract': {'a': 'x' * 70_000}},
            RECORD | {'contract': {'a': float('nan')}},
            RECORD | {'record_id': ''},
        ],
        ids=range(13),
    )
    def test_hostile_body_is_refused(self, body):
        with pytest.raises(InvalidRecord):
            parse_record(body)
