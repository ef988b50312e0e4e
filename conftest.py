"""Settings of the test suite: the same examples in every run."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")
