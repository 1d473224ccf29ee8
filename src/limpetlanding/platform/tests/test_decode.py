"""Decoding of the platform's settings files and bodies."""

import orjson
import pytest

from limpetlanding.platform.decode import Malformed, decode_catalog, decode_job
from limpetlanding.platform.settings import (
    SETTINGS_VARIABLE,
    SettingsError,
    read_settings,
    settings_path,
)
from limpetlanding.runs.model import Resources

SETTINGS = {
    'nodeName': 'side-kasur-1',
    'ip': '10.2.0.14',
    'zone': 'kasur',
    'region': 'punjab',
    'listen': {'control': '10.2.0.14:8166'},
    'portRange': [7720, 7735],
    'seeds': ['10.1.0.13:8166'],
    'bounds': {'graceS': 6},
    'app': '10.2.0.14:8165',
    'service': 'desk',
    'platform': {'address': '10.200.1.7:8169'},
    'somethingNew': [1],
}


class TestSettings:
    """Guards against processes that start with wrongly decoded settings."""

    def test_fields_are_read_and_unknown_ones_ignored(self, tmp_path):
        path = tmp_path / 'local.json'
        path.write_bytes(orjson.dumps(SETTINGS))
        settings = read_settings(path)
        assert settings.address == '10.2.0.14:7720'
        assert settings.seeds == ['10.1.0.13:7720']
        assert settings.pool == 'desk'
        assert settings.client_address == ''

    @pytest.mark.parametrize(
        ('name', 'value'),
        [('nodeName', 7), ('ip', None), ('portRange', []), ('listen', 'here')],
    )
    def test_wrong_field_is_named(self, tmp_path, name, value):
        path = tmp_path / 'local.json'
        path.write_bytes(orjson.dumps(SETTINGS | {name: value}))
        with pytest.raises(SettingsError, match=name):
            read_settings(path)

    def test_missing_file_and_variable_are_rejected(
        self, tmp_path, monkeypatch
    ):
        with pytest.raises(SettingsError):
            read_settings(tmp_path / 'none.json')
        monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
        with pytest.raises(SettingsError, match=SETTINGS_VARIABLE):
            settings_path()


class TestBodies:
    """Guards against wrongly decoded jobs and configurations."""

    def test_fields_of_steps_are_decoded(self):
        body = {
            'spec': 's',
            'bestEffort': True,
            'pipeline': [
                {'count': 4, 'cpu': 500, 'memMb': 256, 'affinity': 'r1-3'},
                {'count': 1, 'gpu': 2, 'dependsOn': [0], 'requirements': 'b'},
            ],
        }
        first, second = decode_job('5c0e7a21d94b36f8', orjson.dumps(body)).steps
        assert first.need == Resources(500, 256)
        assert first.data_rack == 'r1-3'
        assert second.after == (0,)
        assert second.label == 'b'

    @pytest.mark.parametrize(
        'pipeline',
        [
            [],
            [7],
            [{'count': 0}],
            [{'count': 'x'}],
            [{'count': 1, 'dependsOn': [0]}],
            [{'count': 1, 'estimateMs': 'long'}],
        ],
    )
    def test_malformed_steps_are_rejected(self, pipeline):
        body = {'spec': '', 'bestEffort': True, 'pipeline': pipeline}
        with pytest.raises(Malformed):
            decode_job('5c0e7a21d94b36f8', orjson.dumps(body))

    def test_malformed_catalog_is_rejected(self):
        for body in (b'no', b'[]', b'{"version": 2, "routes": [{"host": 1}]}'):
            with pytest.raises(Malformed):
                decode_catalog(body)
