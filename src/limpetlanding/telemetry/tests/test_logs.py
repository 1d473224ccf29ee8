import json
import sys

import pytest
from loguru import logger

from limpetlanding.telemetry.logs import configure_logs


@pytest.fixture
def lines():
    lines = []
    configure_logs('INFO', lines.append, node='agent-1')
    yield lines
    logger.remove()
    logger.configure(extra={})
    logger.add(sys.stderr)


def raise_error(secret):
    raise ValueError(len(secret))


class TestLogs:
    def test_fields_of_context_and_line_are_top_level(self, lines):
        with logger.contextualize(request_id='r1'):
            logger.bind(step='submit', peer='p').warning('slow {}', 5)
        (line,) = lines
        fields = json.loads(line)
        assert line.endswith('\n')
        assert line.count('\n') == 1
        assert fields['level'] == 'WARNING'
        assert fields['message'] == 'slow 5'
        assert fields['request_id'] == 'r1'
        assert (fields['step'], fields['peer']) == ('submit', 'p')
        assert fields['node'] == 'agent-1'

    def test_traceback_contains_no_values_of_variables(self, lines):
        # Guards against customer keys and payloads in the logs.
        secret = '-'.join(['key', 'of', 'customer'])
        try:
            raise_error(secret)
        except ValueError:
            logger.exception('failed')
        (line,) = lines
        fields = json.loads(line)
        assert fields['error'] == 'ValueError: 15'
        assert 'test_logs.py' in fields['traceback']
        assert secret not in line

    def test_line_breaks_and_unserializable_values_give_one_line(self, lines):
        # Guards against log lines that a caller forges with line breaks in
        # its text.
        logger.bind(peer={1, 2}, raw=b'\xff').info('a\n{"level": "x"}')
        (line,) = lines
        assert line.count('\n') == 1
        assert json.loads(line)['message'] == 'a\n{"level": "x"}'

    def test_lower_levels_are_not_written(self, lines):
        logger.debug('detail')
        assert not lines
