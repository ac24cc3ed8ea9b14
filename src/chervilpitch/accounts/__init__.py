"""Client accounts and their keys."""
