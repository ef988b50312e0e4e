"""Adapter for the users' platform: wire names, formats and calls, without any decisions.

All input from the platform is decoded here into the types of this package.
"""
