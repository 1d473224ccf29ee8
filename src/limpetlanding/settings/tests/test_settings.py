import pytest

from limpetlanding.settings import DocumentError, load_settings

AGENT = """{
  // One agent beside one endpoint.
  "role": "agent", /* of a
  worker */
  "node": "agent-1",
  "region": "punjab",
  "failure_domain": "kasur",
  "entries": ["127.0.0.1:7100"],
  EXTRA
}
"""


@pytest.fixture
def load(tmp_path):
    def write(extra, text=AGENT):
        path = tmp_path / 'agent.json'
        path.write_text(text.replace('EXTRA', extra))
        return load_settings(path)

    return write


def problems_of(load, extra):
    with pytest.raises(DocumentError) as caught:
        load(extra)
    return caught.value.problems


class TestSettings:
    def test_comments_and_defaults(self, load):
        settings = load('"emulated_delay_ms": {"own": 0, "cross": 1.5},')
        assert settings.emulated_delay_ms.cross == 1.5
        assert settings.max_body_bytes == 1024 * 1024

    def test_wrong_unit_names_file_line_key_and_unit(self, load):
        # Guards against a time that is silently read in the wrong unit.
        (problem,) = problems_of(load, '// unit\n"retention_ms": 120000')
        assert problem.file.endswith('agent.json')
        assert (problem.line, problem.key) == (10, 'retention_ms')
        assert 'retention_s' in problem.detail
        assert problem.unit == 'seconds'

    def test_text_with_unit_is_refused(self, load):
        (problem,) = problems_of(load, '"stop_grace_s": "60s"')
        assert (problem.line, problem.unit) == (9, 'seconds')

    @pytest.mark.parametrize(
        'extra',
        [
            '"max_body_bytes": 1.5',
            '"retention_s": true',
            '"retention_s": -1',
            '"retention_s": 1e999',
            '"listen": {"host": "127.0.0.1", "port": 70000}',
            '"tls": {"certificate": "a"}',
            '"node": "agent-2"',
            '"nodes": 3',
            '"log": {"url": "127.0.0.1:7000"}',
            '"listen": {"host": "0.0.0.0", "port": 1}',
        ],
    )
    def test_wrong_value_is_refused(self, load, extra):
        assert problems_of(load, extra)

    def test_bad_address_names_its_line(self, load):
        text = AGENT.replace('"127.0.0.1:7100"', '"a:1",\n"nonsense"')
        with pytest.raises(DocumentError) as caught:
            load('', text)
        (problem,) = caught.value.problems
        assert (problem.line, problem.key) == (9, 'entries.1')

    def test_repeated_key_is_refused(self, load):
        # Guards against a repeated key whose last value is used silently.
        (problem,) = problems_of(load, '"node": "agent-2"')
        assert (problem.line, problem.key) == (9, 'node')

    def test_syntax_error_names_a_line(self, load):
        (problem,) = problems_of(load, '"retention_s": ]')
        assert problem.line == 9

    def test_deep_nesting_is_refused(self, load):
        # Guards against a document that exhausts the stack.
        (problem,) = problems_of(load, f'"x": {"[" * 30_000}')
        assert 'nested' in problem.detail

    def test_missing_file_raises_document_error(self, tmp_path):
        with pytest.raises(DocumentError):
            load_settings(tmp_path / 'absent.json')
