"""Benchmarks: every figure on the pages comes from here."""
