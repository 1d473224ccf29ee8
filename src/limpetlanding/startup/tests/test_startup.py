import asyncio
import json
import logging
import os
import signal
import ssl
import sys

import pytest
import trustme
from loguru import logger

from limpetlanding.settings import Settings
from limpetlanding.startup import (
    identity_status,
    new_hello,
    node_options,
    stop_on_signals,
    telemetry,
)


def settings(**changes):
    values = {
        'role': 'entry',
        'node': 'entry-1',
        'region': 'punjab',
        'failure_domain': 'kasur',
        'listen': {'host': '10.0.0.1', 'port': 7001},
    }
    return Settings(**(values | changes))


@pytest.fixture
def tls_files(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    files = {
        'certificate': tmp_path / 'certificate.pem',
        'key': tmp_path / 'key.pem',
        'authority': tmp_path / 'authority.pem',
    }
    issued.cert_chain_pems[0].write_to_path(files['certificate'])
    issued.private_key_pem.write_to_path(files['key'])
    authority.cert_pem.write_to_path(files['authority'])
    return files


class TestIdentity:
    def test_each_start_gets_a_new_incarnation(self):
        # Guards against a restarted process that is mistaken for the previous
        # one.
        first, second = (new_hello(settings()) for _ in range(2))
        assert first.incarnation != second.incarnation

    def test_peers_get_the_advertised_host(self):
        # Guards against peers that dial the wildcard address.
        hello = new_hello(
            settings(
                listen={'host': '0.0.0.0', 'port': 7001},
                advertise_host='10.9.9.9',
            )
        )
        assert hello.address == '10.9.9.9:7001'

    def test_status_names_process_state_and_what_is_missing(self):
        status = identity_status(new_hello(settings()), 'ready', 'no agent')
        assert status['node'] == 'entry-1'
        assert (status['state'], status['missing']) == ('ready', 'no agent')


class TestNodeOptions:
    def test_delay_depends_on_the_failure_domains(self):
        delay = {'own': 1, 'cross': 3}
        options = node_options(settings(emulated_delay_ms=delay))
        assert options.emulated_delay_ms('kasur', 'kasur') == 1
        assert options.emulated_delay_ms('kasur', 'lahore') == 3

    def test_delay_and_tls_are_off_by_default(self):
        options = node_options(settings())
        assert options.listen == '10.0.0.1:7001'
        assert options.emulated_delay_ms is None
        assert (options.server_tls, options.client_tls) == (None, None)

    def test_tls_asks_both_sides_for_a_certificate(self, tls_files):
        # Guards against links that accept any process that can connect.
        options = node_options(settings(tls=tls_files))
        for context in (options.server_tls, options.client_tls):
            assert context.verify_mode == ssl.CERT_REQUIRED


class TestSignals:
    def test_both_signals_request_a_stop_and_handlers_are_restored(self):
        # Guards against a SIGTERM that ends the process at once.
        asyncio.run(self.stop_twice())

    async def stop_twice(self):
        stops = asyncio.Queue()
        before = signal.getsignal(signal.SIGTERM)
        with stop_on_signals(lambda: stops.put_nowait(1)):
            for number in (signal.SIGTERM, signal.SIGINT):
                os.kill(os.getpid(), number)
                assert await stops.get()
        assert signal.getsignal(signal.SIGTERM) == before


class TestTelemetry:
    @pytest.fixture(autouse=True)
    def _restore_logs(self):
        root = logging.getLogger()
        before = list(root.handlers)
        yield
        root.handlers[:] = before
        logger.remove()
        logger.configure(extra={})
        logger.add(sys.stderr)

    def test_lines_of_all_libraries_have_one_format(self, capsys):
        # Guards against lines that `limpetlanding explain` cannot read.
        with telemetry(settings(log_level='WARNING')):
            logger.info('below the level of the settings')
            logger.bind(step='submit').warning('own')
            logging.getLogger('asyncio').error('library %s', 1)
        lines = [json.loads(x) for x in capsys.readouterr().err.splitlines()]
        logged = [(x['step'], x['message'], x['level']) for x in lines]
        assert logged == [
            ('submit', 'own', 'WARNING'),
            ('asyncio', 'library 1', 'ERROR'),
        ]
        assert {(x['role'], x['node']) for x in lines} == {('entry', 'entry-1')}
