"""Settings files with odd fields, at the start and while a process runs."""

import asyncio
import os
from contextlib import nullcontext

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.platform import roles
from limpetlanding.platform.decode import Malformed, load_object
from limpetlanding.platform.settings import (
    SETTINGS_VARIABLE,
    SettingsError,
    decode_settings,
    read_settings,
)
from limpetlanding.platform.tests.odd_entries import (
    NUMBERS,
    OTHER_TYPES,
    UNREADABLE,
    with_field,
)
from limpetlanding.platform.tests.rig import running
from limpetlanding.platform.tests.test_decode import SETTINGS

FIELDS = orjson.dumps(SETTINGS)
PORT_RANGES = (
    *(b'[%s,7735]' % x for x in (*NUMBERS, *OTHER_TYPES, b'0', b'65536')),
    *NUMBERS,
    b'[]',
    b'["7720"]',
)
ODD_SETTINGS = (
    *UNREADABLE,
    *(with_field(FIELDS, 'portRange', x) for x in PORT_RANGES),
    *(
        with_field(FIELDS, name, x)
        for name in ('nodeName', 'ip', 'zone', 'app', 'platform', 'bounds')
        for x in NUMBERS
    ),
    *(
        with_field(FIELDS, 'bounds', b'{"graceS":%s}' % x)
        for x in NUMBERS
        if x != b'1.5'
    ),
)


class TestOddSettings:
    """Guards against processes that end, or stop following their settings."""

    @pytest.mark.parametrize('content', ODD_SETTINGS)
    def test_odd_file_is_refused(self, tmp_path, content):
        path = tmp_path / 'local.json'
        path.write_bytes(content)
        with pytest.raises(SettingsError):
            read_settings(path)

    @pytest.mark.parametrize(
        'seed',
        [
            *(x for x in NUMBERS if x not in NUMBERS[:2] + NUMBERS[8:10]),
            *OTHER_TYPES[:5],
            b'""',
            b'"10.1.0.14"',
            b'"front-1:8166"',
            b'"256.1.1.1:8166"',
            b'null',
        ],
    )
    def test_odd_seed_hides_no_other(self, seed):
        content = with_field(FIELDS, 'seeds', b'[%s,"10.1.0.13:99999"]' % seed)
        read = decode_settings(load_object(content, 'test'))
        assert read.seeds == ['10.1.0.13:7720']

    async def test_odd_files_are_passed_over_while_a_process_runs(
        self, tmp_path, monkeypatch
    ):
        path = tmp_path / 'local.json'
        path.write_bytes(FIELDS)
        monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
        monkeypatch.setattr(roles, '_reload_signal', lambda _: nullcontext())
        applied = []
        odd_seed = with_field(FIELDS, 'seeds', b'[%s]' % OTHER_TYPES[4])
        async with running(roles.follow_settings(applied.append)):
            await asyncio.sleep(1.5)
            for number, content in enumerate((*ODD_SETTINGS, odd_seed)):
                path.write_bytes(content)
                os.utime(path, (number + 1, number + 1))
                await asyncio.sleep(1.5)
            path.write_bytes(FIELDS)
            os.utime(path, (9999, 9999))
            await asyncio.sleep(1.5)
        assert [x.seeds for x in applied] == [[], ['10.1.0.13:7720']]

    @given(at=st.integers(0, len(FIELDS) - 1), content=st.binary(max_size=6))
    @settings(max_examples=300, deadline=None)
    def test_changed_file_is_read_or_refused(self, at, content):
        changed = FIELDS[:at] + content + FIELDS[at + 1 :]
        try:
            read = decode_settings(load_object(changed, 'test'))
        except Malformed:
            return
        assert read.grace_s >= 0
