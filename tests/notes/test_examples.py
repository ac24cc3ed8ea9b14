"""The example notes are valid and describe the two deployments in full size."""

import hashlib
import pathlib
from collections import Counter

import pytest

from chervilpitch.model import EMPTY_CATALOGUE
from chervilpitch.notes import apply, parse

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples" / "notes"


def load_example(name):
    """Return the catalogue of an example note."""
    note = parse((EXAMPLES / name).read_bytes(), name).unwrap()
    return apply(EMPTY_CATALOGUE, note).unwrap()


@pytest.mark.parametrize(
    ("name", "services"),
    [
        ("qureshi-1.ini", {"fitting-desk": 25, "quote-office": 10}),
        ("vandermeulen-1.ini", {"slot-desk": 20, "dossier-hub": 10}),
    ],
)
def test_example_has_the_size_of_its_deployment(name, services):
    catalogue = load_example(name)
    assert Counter(u.service for u in catalogue.upstreams.values()) == services
    assert Counter(catalogue.seats.values()).most_common()[-1][1] == 6
    assert len(catalogue.seats) == 36
    assert len(catalogue.accounts) == 8
    for key in catalogue.keys.values():
        text = f"example-key-of-{key.account}"
        assert key.digest == hashlib.sha256(text.encode()).hexdigest()
