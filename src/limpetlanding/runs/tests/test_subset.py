"""Choice of the workers that a front keeps links to."""

from collections import Counter
from itertools import product
from statistics import mean

import pytest

from limpetlanding.runs.subset import (
    BASE_SIZE,
    GROWTH,
    LINK_PATIENCE_S,
    MAX_SIZE,
    RETRY_DELAY_S,
    SHRINK_DELAY_S,
    WorkerSubset,
)

DOMAINS = tuple('abcde')


def addresses(count):
    """Return addresses of workers with their failure domains."""
    return {
        f'10.0.{number}.1:7000': DOMAINS[number % len(DOMAINS)]
        for number in range(count)
    }


def subset_of(workers, front='f1', domain='a', **options):
    subset = WorkerSubset(front, domain, **options)
    for address, failure_domain in workers.items():
        subset.add(address, failure_domain)
    return subset


def members(workers, front='f1', domain='a'):
    return set(subset_of(workers, front, domain).update(0, (), False).dial)


class TestChoice:
    def test_small_fleet_is_used_whole(self):
        assert members(addresses(11)) == set(addresses(11))

    @pytest.mark.parametrize('count', [100, 1000, 6000])
    def test_number_of_links_does_not_grow_with_the_fleet(self, count):
        assert len(members(addresses(count))) == BASE_SIZE

    def test_half_of_the_subset_is_in_the_own_domain(self):
        # Guards against traffic between failure domains that could stay in
        # one, and against a front that loses all its workers with its domain.
        workers = addresses(160)
        domains = Counter(workers[x] for x in members(workers, domain='c'))
        assert domains['c'] >= BASE_SIZE // 2
        assert len(domains) == len(DOMAINS)

    def test_workers_are_covered_evenly(self):
        # Guards against workers that hardly any front uses.
        workers = addresses(160)
        fronts = [(f'f{n}-{d}', d) for n, d in product(range(7), DOMAINS)]
        links = Counter(
            address
            for front, domain in fronts
            for address in members(workers, front, domain)
        )
        assert mean(links.values()) == pytest.approx(7, abs=0.1)
        # A worker that fewer than two fronts use dials fronts itself.
        assert sum(links[x] < 2 for x in workers) <= 2
        assert max(links.values()) <= 17

    def test_restarted_front_chooses_the_same_workers(self):
        workers = addresses(160)
        assert members(workers) == members(dict(reversed(workers.items())))

    def test_added_worker_changes_few_subsets(self):
        # Guards against new links of the whole fleet when one machine joins.
        before, after = addresses(160), addresses(161)
        changes = [
            len(members(after, f'f{n}') - members(before, f'f{n}'))
            for n in range(35)
        ]
        assert max(changes) == 1
        assert sum(changes) <= 20


class TestLostWorkers:
    def test_silent_worker_is_replaced(self):
        # Guards against a front that has hardly any workers left after the
        # loss of a failure domain.
        subset = subset_of(addresses(160))
        chosen = set(subset.update(0, (), False).dial)
        lost = set(sorted(chosen)[:10])
        linked = chosen - lost
        assert not subset.update(0.1, linked, False).dial
        change = subset.update(0.2 + LINK_PATIENCE_S, linked, False)
        assert len(change.dial) == len(lost)
        assert set(change.release) == lost

    def test_returning_worker_replaces_its_substitute(self):
        # Guards against subsets that grow with each loss of a worker.
        subset = subset_of(addresses(160))
        chosen = set(subset.update(0, (), False).dial)
        lost = max(chosen)
        linked = chosen - {lost}
        change = subset.update(LINK_PATIENCE_S, linked, False)
        (substitute,) = change.dial
        subset.released(lost)
        linked.add(substitute)
        later = LINK_PATIENCE_S + RETRY_DELAY_S
        change = subset.update(later, linked, False)
        assert change.dial == [lost]
        # The substitute serves until the worker has a link.
        assert not change.release
        change = subset.update(later + 0.1, linked | {lost}, False)
        assert change.release == [substitute]

    def test_worker_with_a_new_address_is_not_dialed_at_the_old_one(self):
        # Guards against a server that has left and is used again.
        subset = subset_of(addresses(3))
        chosen = set(subset.update(0, (), False).dial)
        old = max(chosen)
        subset.forget(old)
        change = subset.update(1, chosen - {old}, False)
        assert change.release == [old]
        subset.released(old)
        assert not subset.update(99, chosen - {old}, False).dial

    def test_address_that_is_recorded_again_is_used_again(self):
        subset = subset_of(addresses(3))
        old = max(addresses(3))
        subset.forget(old)
        assert not subset.add(old, 'a')
        assert old in subset.update(0, (), False).dial


class TestShortage:
    def run_shortage(self, subset, seconds, begin=0, linked=()):
        for step in range(2 * seconds):
            change = subset.update(begin + step / 2, linked, True)
            linked = {*linked, *change.dial}
        return linked

    def test_full_subset_grows(self):
        # Guards against jobs that wait while workers outside the subset are
        # free, as after the loss of many fronts.
        subset = subset_of(addresses(160))
        linked = self.run_shortage(subset, 2)
        assert len(linked) == BASE_SIZE + 2 * GROWTH

    def test_growth_is_bounded(self):
        subset = subset_of(addresses(6000))
        assert len(self.run_shortage(subset, 60)) == MAX_SIZE

    def test_subset_shrinks_after_the_shortage(self):
        subset = subset_of(addresses(160))
        linked = self.run_shortage(subset, 10)
        assert not subset.update(10, linked, False).release
        change = subset.update(11 + SHRINK_DELAY_S, linked, False)
        assert len(linked) - len(change.release) == BASE_SIZE
