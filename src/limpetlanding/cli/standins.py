"""Verbs that run the stand-ins of the platform."""

from typing import Any


def endpoint(*arguments: Any, **options: Any) -> Any:
    """Run the endpoint stand-in; see `limpetlanding.standin.endpoint`."""
    from limpetlanding.standin.endpoint import main

    return main(*arguments, **options)


VERBS = {'endpoint': endpoint}
