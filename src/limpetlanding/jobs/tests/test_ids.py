import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetlanding.jobs import (
    InvalidJobId,
    mint_job_id,
    parse_job_id,
    verify_job_id,
)

INCARNATION = '9f2c0a1b44d0e6aa'


class TestJobId:
    @settings(derandomize=True)
    @given(st.integers(1, 10**18 - 1), st.text(), st.binary(min_size=1))
    def test_round_trip(self, sequence, customer, secret):
        job_id = mint_job_id(INCARNATION, sequence, customer, secret)
        assert parse_job_id(str(job_id)) == job_id
        assert verify_job_id(job_id, customer, secret)

    def test_code_of_another_sequence_is_invalid(self):
        # Guards against a caller that increments the sequence to guess the
        # id of another job.
        job_id = mint_job_id(INCARNATION, 1, 'a', b's')
        forged = parse_job_id(f'{INCARNATION}.2.{job_id.mac}')
        assert not verify_job_id(forged, 'a', b's')

    @pytest.mark.parametrize(
        'text',
        ['', 'x', f'{INCARNATION}.0.{INCARNATION}', f'{INCARNATION}.1.zz'],
    )
    def test_malformed_text_is_refused(self, text):
        with pytest.raises(InvalidJobId):
            parse_job_id(text)
