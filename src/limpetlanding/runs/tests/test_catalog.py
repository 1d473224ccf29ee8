"""The configuration in force, and the queue of a request."""

from contextlib import suppress

import orjson
import pytest

from limpetlanding.runs.catalog import CatalogHolder
from limpetlanding.runs.model import Catalog, Queue
from limpetlanding.runs.registry import JOB_RETENTION_S
from limpetlanding.wire.run_messages import CatalogUpdate

HOST = 'desk.example'


def queue(name, prefix, host=HOST):
    return Queue(name, host, prefix, 'desk')


def holder_of(*queues):
    holder = CatalogHolder(lambda _: None)
    holder.replace_if_newer(Catalog(1, list(queues)), 'store')
    return holder


class TestFind:
    """Guards against requests that reach another queue."""

    def test_longest_prefix_of_the_host_is_used(self):
        holder = holder_of(
            queue('short', '/a/'),
            queue('long', '/a/b/'),
            queue('other host', '/a/b/c/', 'other.example'),
        )
        assert holder.find(HOST, '/a/b/c/1').name == 'long'
        assert holder.find(HOST, '/a/c/1').name == 'short'
        assert holder.find(HOST, '/b/1') is None
        assert holder.find('unknown.example', '/a/1') is None

    def test_removed_queue_is_not_found(self):
        holder = holder_of(queue('old', '/a/'))
        holder.replace_if_newer(Catalog(2, [queue('new', '/b/')]), 'store')
        assert holder.find(HOST, '/a/1') is None
        assert holder.find(HOST, '/b/1').name == 'new'

    def test_cost_does_not_grow_with_the_queues_of_other_hosts(self):
        # Guards against a search through all queues for each request.
        others = [queue(f'q{n}', f'/{n}/', f'h{n}.example') for n in range(999)]
        holder = holder_of(queue('own', '/a/'), *others)
        assert holder.queues[HOST] == [queue('own', '/a/')]


class TestWithdrawn:
    """Guards against a job that cannot be cancelled without its queue."""

    def test_withdrawn_queue_is_known_for_a_while(self):
        now = 100
        holder = CatalogHolder(lambda _: None, lambda: now)
        old = queue('old', '/a/')
        holder.replace_if_newer(Catalog(1, [old]), 'store')
        holder.replace_if_newer(Catalog(2, []), 'store')
        assert holder.find_withdrawn(HOST, '/a/1') == [old]
        assert not holder.find_withdrawn(HOST, '/b/1')
        assert not holder.find_withdrawn('other.example', '/a/1')
        now += JOB_RETENTION_S + 1
        assert not holder.find_withdrawn(HOST, '/a/1')

    def test_queue_whose_settings_change_is_not_withdrawn(self):
        holder = holder_of(queue('old', '/a/'))
        holder.replace_if_newer(Catalog(2, [queue('new', '/a/')]), 'store')
        assert not holder.find_withdrawn(HOST, '/a/1')


class TestUpdate:
    """Guards against a configuration that peers of two builds do not share."""

    def test_fields_of_a_newer_build_are_ignored(self):
        sender = holder_of(queue('own', '/a/'))
        fields = orjson.loads(sender.update_message().body)
        fields['regions'] = ['r']
        fields['queues'][0]['weight'] = 2
        receiver = CatalogHolder(lambda _: None)
        receiver.apply_update(CatalogUpdate(1, orjson.dumps(fields)), 'peer')
        assert receiver.catalog == sender.catalog

    @pytest.mark.parametrize(
        'body', [b'', b'7', b'{}', b'{"queues": 7}', b'{"queues": [{}]}']
    )
    def test_malformed_update_leaves_the_configuration(self, body):
        holder = holder_of(queue('own', '/a/'))
        before = holder.catalog
        # The channel logs the error of a handler, whichever it is.
        with suppress(Exception):
            holder.apply_update(CatalogUpdate(9, body), 'peer')
        assert holder.catalog is before
        assert holder.find(HOST, '/a/1').name == 'own'
