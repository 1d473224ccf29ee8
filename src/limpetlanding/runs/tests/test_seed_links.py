"""Links of a worker to the fronts that its settings name."""

from types import SimpleNamespace

import pytest

from limpetlanding.runs.seed_links import ENOUGH_FRONTS, MIN_FRONTS, SeedLinks

SEEDS = ['10.0.0.1:7000', '10.0.0.2:7000']


class StandinNode:
    """Records what is dialed and released; `linked` names linked fronts."""

    def __init__(self):
        self.dialed = set()
        self.released = []
        self.linked = []
        self.busy = set()

    def connected(self, role):
        assert role == 'front'
        return [
            SimpleNamespace(
                peer=SimpleNamespace(address=address),
                is_idle=address not in self.busy,
            )
            for address in self.linked
        ]

    def keep_dialing(self, address):
        self.dialed.add(address)

    def stop_dialing(self, address):
        self.dialed.discard(address)

    def release(self, channel):
        self.released.append(channel.peer.address)


@pytest.fixture
def node():
    return StandinNode()


@pytest.fixture
def links(node):
    links = SeedLinks(node)
    links.add(SEEDS)
    return links


def others(count):
    return [f'10.1.0.{number}:7000' for number in range(count)]


class TestSeedLinks:
    def test_worker_that_fronts_have_chosen_dials_no_seed(self, node, links):
        # Guards against seeds that are linked to the whole fleet.
        node.linked = others(MIN_FRONTS)
        links.update()
        assert not node.dialed

    @pytest.mark.parametrize('count', range(MIN_FRONTS))
    def test_worker_with_too_few_fronts_dials_the_seeds(
        self, node, links, count
    ):
        # Guards against a worker whose fronts have all gone, or that no front
        # knows because the store is down.
        node.linked = others(count)
        links.update()
        assert node.dialed == set(SEEDS)

    def test_seeds_are_released_when_others_have_chosen_the_worker(
        self, node, links
    ):
        links.update()
        node.linked = [*SEEDS, *others(ENOUGH_FRONTS - len(SEEDS))]
        node.busy = {SEEDS[1]}
        links.update()
        assert not node.dialed
        # The link over which a run is in progress stays open.
        assert node.released == [SEEDS[0]]

    def test_seeds_are_kept_between_the_two_limits(self, node, links):
        # Guards against links that are opened and closed in turn.
        links.update()
        node.linked = [*SEEDS, *others(ENOUGH_FRONTS - len(SEEDS) - 1)]
        links.update()
        assert node.dialed == set(SEEDS)
        assert not node.released

    def test_new_seeds_are_dialed_if_they_are_needed(self, node, links):
        links.update()
        links.add(['10.0.0.3:7000'])
        assert '10.0.0.3:7000' in node.dialed
