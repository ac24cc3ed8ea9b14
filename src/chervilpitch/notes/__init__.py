"""Release notes: parse, validate, apply and compare."""
