"""Benchmarks of cost and behaviour; they are not part of the test suite."""
