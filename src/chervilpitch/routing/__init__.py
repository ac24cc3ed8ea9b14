"""Routes, upstream choice and fleet-wide budgets."""
