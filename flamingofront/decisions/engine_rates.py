"""Rates of the endpoints of a service, estimated from forwarded responses.

Load pattern: untuned deployments whose engines prefill prompts at rates that differ by a factor of
ten and change within a day when other endpoints take over. Observations are the time to the first
event as a function of the prompt tokens ahead of it, and the pause between events. An observation
deviates by at most `MAX_DEVIATIONS` times the typical deviation, so that a single faulty, stalled
or crashed endpoint has little influence. Old observations decay by `OBSERVATION_DECAY` per step, so
that a change is visible after about 50 responses.
"""

from dataclasses import dataclass

__all__ = ["EngineRates", "LearnedRates", "LinearFit", "ServiceRates"]

# Factor on the weight of an observation for each later one; the half-life is 34 observations. A
# process observes five to ten streams per second.
OBSERVATION_DECAY = 0.98
# Weight of the prior in observations, and its decay factor per observation: five responses outweigh
# it, and after 30 a hundredth of the weight is left.
PRIOR_WEIGHT = 5.0
PRIOR_DECAY = 0.85
# Observations are clipped to this many typical deviations from the estimate.
MAX_DEVIATIONS = 3.0
# Gain of the typical deviation, whose observations are clipped to twice the limit: a change of the
# engines widens the limit within ten responses, while one outlier in ten does not.
DEVIATION_GAIN = 0.1
# Minimum typical deviation as a fraction of the estimate: after responses with little noise, the
# next change of the endpoints must not look like an outlier.
MIN_DEVIATION_FRACTION = 0.1
# Fraction by which one more running request lengthens the pause between events. The specifications
# of two engines give 0.007 per decoding step. A fit to observed pauses varied between 0 and 0.25,
# because prompts prefilled in between have a much larger influence.
CROWDING_FRACTION = 0.01
# Minimum seconds per token: the estimate is used as a divisor and must stay positive.
MIN_SLOPE_SECONDS = 1e-7
# Spread of the arguments, relative to their squares, below which the slope is not estimated.
MIN_RELATIVE_SPREAD = 1e-6


@dataclass(frozen=True)
class EngineRates:
    """Estimated rates of the endpoints of a service, used for placement and scaling.

    Parameters
    ----------
    token_seconds : float
        Prefill time of an endpoint per prompt token.
    base_seconds : float
        Time to the first event apart from the prefill; for a plain service, of a call.
    pause_seconds : float
        Time between two events of a stream.
    events : float
        Mean number of events of a stream.
    is_learned : bool
        False while the estimates depend mainly on the prior.
    """

    token_seconds: float = 2e-5
    base_seconds: float = 0.03
    pause_seconds: float = 0.02
    events: float = 30.0
    is_learned: bool = False

    def first_event_seconds(self, tokens: float) -> float:
        """Return the expected time to the first event for a number of prompt tokens to prefill."""
        return self.base_seconds + self.token_seconds * tokens

    @property
    def crowding_seconds(self) -> float:
        """Seconds by which one more running request lengthens each stream."""
        return CROWDING_FRACTION * self.pause_seconds * self.events

    def endpoint_seconds(self, tokens: float) -> float:
        """Return the work of a request with a number of prompt tokens, in endpoint-seconds.

        Notes
        -----
        The work is the prefill and the time that the request adds to the decoding steps of all
        running requests. The steps themselves are independent of the number of requests.
        """
        return self.token_seconds * tokens + self.crowding_seconds


class _Sums:
    """Weighted sums for the least squares fit of a line."""

    def __init__(self):
        self.weight = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float, weight: float) -> None:
        """Add an observation."""
        self.weight += weight
        self.x += weight * x
        self.y += weight * y
        self.xx += weight * x * x
        self.xy += weight * x * y

    def scale_weights(self, factor: float) -> None:
        """Multiply the weight of all observations by a factor."""
        for name in vars(self):
            setattr(self, name, factor * getattr(self, name))

    def combine(self, other: "_Sums") -> "_Sums":
        """Return the sums of the observations of both."""
        total = _Sums()
        for name in vars(self):
            setattr(total, name, getattr(self, name) + getattr(other, name))
        return total


class LinearFit:
    """Least squares fit of a line with exponential forgetting and clipped outliers.

    Parameters
    ----------
    offset, slope : float
        Prior line.
    typical : float
        Typical argument: the prior counts as observations at 0 and at twice this value.
    """

    def __init__(self, offset: float, slope: float, typical: float):
        self._observations = _Sums()
        self._prior = _Sums()
        # As large as the expected value, so that the first responses are not clipped.
        self._deviation = offset + slope * typical
        for x in (0.0, 2 * typical):
            self._prior.add(x, offset + slope * x, PRIOR_WEIGHT / 2)
        self.count = 0
        self.offset, self.slope = offset, slope

    def observe(self, x: float, y: float) -> None:
        """Add an observation and update the fit."""
        expected = self.predict(x)
        residual = y - expected
        limit = MAX_DEVIATIONS * max(self._deviation, MIN_DEVIATION_FRACTION * expected)
        clipped = max(-limit, min(limit, residual))
        deviation = min(abs(residual), 2 * limit)
        self._deviation += DEVIATION_GAIN * (deviation - self._deviation)
        self._observations.scale_weights(OBSERVATION_DECAY)
        self._prior.scale_weights(PRIOR_DECAY)
        self._observations.add(x, expected + clipped, 1.0)
        self.count += 1
        self._fit(self._observations.combine(self._prior))

    def _fit(self, sums: _Sums) -> None:
        spread = sums.weight * sums.xx - sums.x * sums.x
        if spread > MIN_RELATIVE_SPREAD * sums.weight * sums.xx:
            self.slope = max(MIN_SLOPE_SECONDS, (sums.weight * sums.xy - sums.x * sums.y) / spread)
        self.offset = max(0.0, (sums.y - self.slope * sums.x) / sums.weight)

    def predict(self, x: float) -> float:
        """Return the value of the line at an argument, in seconds."""
        return self.offset + self.slope * x


class ServiceRates:
    """Estimator of the rates of one service.

    Parameters
    ----------
    prior : EngineRates
        Rates assumed before there are observations.
    """

    # Typical length of a prompt, for which the prior is given.
    TYPICAL_TOKENS = 3000.0
    # Gains of the moving averages of events and pauses.
    EVENTS_GAIN = 0.05
    PAUSE_GAIN = 0.02

    def __init__(self, prior: EngineRates | None = None):
        self._prior = prior or EngineRates()
        self._first_event_fit = LinearFit(
            self._prior.base_seconds, self._prior.token_seconds, self.TYPICAL_TOKENS
        )
        self._pause = self._prior.pause_seconds
        self._events = self._prior.events

    @property
    def response_count(self) -> int:
        """Number of responses observed for the time to the first event."""
        return self._first_event_fit.count

    def record_first_event(self, tokens: float, seconds: float) -> None:
        """Record the time to a first event with a number of prompt tokens ahead of it."""
        self._first_event_fit.observe(tokens, seconds)

    def record_pause(self, seconds: float) -> None:
        """Record the pause before an event, clipped to `MAX_DEVIATIONS` typical pauses."""
        clipped = min(seconds, MAX_DEVIATIONS * self._pause)
        self._pause += self.PAUSE_GAIN * (clipped - self._pause)

    def record_call(self, seconds: float) -> None:
        """Record the duration of a call without a prompt and events."""
        self._first_event_fit.observe(0.0, seconds)
        self._events = 0.0

    def record_event_count(self, events: int) -> None:
        """Record the number of events of a complete stream."""
        self._events += self.EVENTS_GAIN * (events - self._events)

    def estimate(self) -> EngineRates:
        """Return the current estimates."""
        return EngineRates(
            token_seconds=self._first_event_fit.slope,
            base_seconds=self._first_event_fit.offset,
            pause_seconds=self._pause,
            events=self._events,
            is_learned=self._first_event_fit.count >= PRIOR_WEIGHT,
        )


class LearnedRates:
    """Estimators of all services."""

    def __init__(self):
        self._services: dict[str, ServiceRates] = {}

    def for_service(self, service: str) -> ServiceRates:
        """Return the estimator of a service, created on first use."""
        estimator = self._services.get(service)
        if estimator is None:
            estimator = self._services[service] = ServiceRates()
        return estimator

    def list_services(self) -> tuple[tuple[str, ServiceRates], ...]:
        """Return the names and estimators of the observed services."""
        return tuple(self._services.items())
