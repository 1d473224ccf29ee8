import asyncio
import ssl

import pytest
import trustme

from limpetlanding.agent.role import AgentRole
from limpetlanding.entry.role import EntryRole
from limpetlanding.entry.tests.rig import default_contracts
from limpetlanding.settings import Settings

HEALTH = b'GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def tls(authority, tmp_path):
    issued = authority.issue_cert('127.0.0.1')
    files = {
        'certificate': tmp_path / 'certificate.pem',
        'key': tmp_path / 'key.pem',
    }
    issued.cert_chain_pems[0].write_to_path(files['certificate'])
    issued.private_key_pem.write_to_path(files['key'])
    return files


def settings(role, tls):
    return Settings(
        role=role,
        node=f'{role}-1',
        region='punjab',
        failure_domain='kasur',
        entries=['127.0.0.1:7001'],
        http={'host': '127.0.0.1', 'port': 0, 'tls': tls},
    )


async def get_health(port, context=None):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, ssl=context
    )
    writer.write(HEALTH)
    answer = await reader.read()
    writer.close()
    return answer


async def check_https_only(port, authority):
    """Check that only clients that trust the authority get an answer."""
    trusted = ssl.create_default_context()
    authority.configure_trust(trusted)
    other = ssl.create_default_context()
    trustme.CA().configure_trust(other)
    assert (await get_health(port, trusted)).startswith(b'HTTP/1.1 200')
    assert not (await get_health(port)).startswith(b'HTTP/1.1 200')
    with pytest.raises(ssl.SSLCertVerificationError):
        await get_health(port, other)


class TestHttps:
    """Real sockets on the loopback interface; the virtual loop has no TLS."""

    def test_callers_are_served_over_tls_only(self, authority, tls):
        # Guards against customer keys that are sent in clear text.
        asyncio.run(self.check_entry(authority, tls))

    def test_endpoints_are_served_over_tls_only(self, authority, tls):
        # Guards against settings that one of the two roles ignores.
        asyncio.run(self.check_agent(authority, tls))

    def test_missing_file_is_reported_at_the_start(self, tls, tmp_path):
        # Guards against a listener that falls back to clear text.
        tls['key'] = tmp_path / 'missing.pem'
        with pytest.raises(FileNotFoundError):
            asyncio.run(self.check_entry(None, tls))

    async def check_entry(self, authority, tls):
        entry_settings = settings('entry', tls)
        role = EntryRole(entry_settings, default_contracts())
        port = await role.http.start(entry_settings.http)
        await check_https_only(port, authority)
        await role.http.runner.cleanup()

    async def check_agent(self, authority, tls):
        role = AgentRole(settings('agent', tls))
        runner = await role._start_http()
        port = int(role.hello.http_address.rpartition(':')[2])
        await check_https_only(port, authority)
        await runner.cleanup()
        await role.core.endpoints.close()
