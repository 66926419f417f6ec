"""Seeded simulations in virtual time that the benchmarks run the product's policies in."""
