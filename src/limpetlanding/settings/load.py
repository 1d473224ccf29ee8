"""Reader of settings files."""

from pathlib import Path

from limpetlanding.settings.documents import read_document, validate
from limpetlanding.settings.models import Settings


def load_settings(path: str | Path) -> Settings:
    """Return the settings in a file of JSON with comments.

    Parameters
    ----------
    path : str or Path
        Path of the file.

    Raises
    ------
    DocumentError
        If the file cannot be read, or a key, value or unit is wrong. The
        error names file, line, key and expected unit of every problem.
    """
    return validate(read_document(path), Settings)
