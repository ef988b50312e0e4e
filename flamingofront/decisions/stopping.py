"""What a process that stops still begins: only what ends before the process does."""

from flamingofront.decisions.engine_rates import EngineRates

__all__ = ["ends_in_time"]

# Requests last longer than the mean: three times as many events, or a queue before the endpoint.
LONGER_THAN_MEAN = 3.0


def ends_in_time(rates: EngineRates, prompt_tokens: int, stream: bool, left: float) -> bool:
    """Tell whether a request that begins now ends before the process does.

    Parameters
    ----------
    rates : EngineRates
        What was learned of the endpoints of its service.
    left : float
        Seconds until the process ends; infinite if it does not stop.
    """
    expected = rates.first_event(prompt_tokens)
    if stream:
        expected += rates.pause_seconds * rates.events
    return expected * LONGER_THAN_MEAN <= left
