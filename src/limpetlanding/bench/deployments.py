"""The two production deployments, as the benchmark starts them."""

from dataclasses import dataclass

ENDPOINT_COUNT = 11
ENTRY_COUNT = 3
SLOTS_PER_ENDPOINT = 8


@dataclass(frozen=True, slots=True)
class Deployment:
    """Failure domains, delays, customers and task kinds of a deployment.

    Parameters
    ----------
    cross_domain_delay_ms : float
        One-way delay between failure domains, in milliseconds.
    caller_delay_ms : float
        One-way delay between a caller and an entry, in milliseconds.
    kinds : tuple of str
        Kinds of short tasks.
    long_kind : str
        Kind of tasks that run for several seconds.
    """

    name: str
    region: str
    failure_domains: tuple[str, str, str]
    cross_domain_delay_ms: float
    caller_delay_ms: float
    customers: tuple[str, ...]
    kinds: tuple[str, ...]
    long_kind: str

    def failure_domain(self, number: int) -> str:
        """Return the failure domain of the process with this number."""
        return self.failure_domains[number % len(self.failure_domains)]

    def all_kinds(self) -> tuple[str, ...]:
        """Return the kinds of short and long tasks."""
        return (*self.kinds, self.long_kind)


OFFCUT = Deployment(
    name='offcut',
    region='punjab',
    failure_domains=('sialkot', 'kasur', 'lahore'),
    cross_domain_delay_ms=1.5,
    caller_delay_ms=1,
    customers=('workshops', 'traders', 'yard'),
    kinds=('grade', 'quote', 'book'),
    long_kind='inventory',
)
KULO = Deployment(
    name='kulo',
    region='gandaki',
    failure_domains=('pokhara', 'syangja', 'tanahun'),
    cross_domain_delay_ms=1,
    caller_delay_ms=3,
    customers=('offices', 'foremen', 'gates'),
    kinds=('alert', 'crew', 'gate-check'),
    long_kind='survey',
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (OFFCUT, KULO)}
