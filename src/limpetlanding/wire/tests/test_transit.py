"""Tests of the estimated transit of messages."""

import pytest

from limpetlanding.wire.transit import TransitClock

OFFSET_S = 1000
TRANSIT_S = 0.002
INTERVAL_S = 0.15


def heard(until_s, rate=1.0):
    """Return a clock that has recorded heartbeats.

    The clock of the peer is ahead by `OFFSET_S` and runs at the given rate.
    """
    transit = TransitClock()
    count = round(until_s / INTERVAL_S)
    for sent in (number * INTERVAL_S for number in range(count + 1)):
        transit.record(OFFSET_S + rate * sent, sent + TRANSIT_S)
    return transit


class TestTransitClock:
    """Guards against late orders that pass, and timely ones that do not."""

    def test_message_that_was_held_up_is_late(self):
        transit_s = heard(30).transit_s(OFFSET_S + 30, now=30.6)
        assert transit_s == pytest.approx(0.6, abs=0.01)

    def test_message_after_a_long_silence_is_not_late(self):
        transit_s = heard(30).transit_s(OFFSET_S + 90, now=90 + TRANSIT_S)
        assert transit_s == pytest.approx(0, abs=0.01)

    def test_messages_that_are_held_up_together_are_all_late(self):
        transit = heard(30)
        for number in range(10):
            sent = 30 + number * INTERVAL_S
            transit.record(OFFSET_S + sent, now=38)
        transit_s = transit.transit_s(OFFSET_S + 31.4, now=38)
        assert transit_s == pytest.approx(6.6, abs=0.01)

    @pytest.mark.parametrize('rate', [0.98, 1.02])
    def test_clock_of_another_rate_makes_no_timely_message_late(self, rate):
        transit = heard(600, rate)
        transit_s = transit.transit_s(OFFSET_S + rate * 600, 600 + TRANSIT_S)
        assert transit_s < 0.25

    def test_nothing_is_late_before_the_first_message(self):
        assert TransitClock().transit_s(OFFSET_S, now=5) == 0
