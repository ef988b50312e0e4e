"""What the endpoints of a service can do, learned from the answers that passed through.

Load pattern: deployments whose engines read prompts at rates a factor of ten apart, which nobody
has tuned, and which change within a day when other endpoints take over. Observed are the time to
the first event against the prompt tokens ahead of it, and the pause between events. Limits: an
observation counts at most `MAX_DEVIATIONS` times the usual deviation, so that one endpoint that
lies, stalls or dies moves an estimate little, and old ones decay by `OBSERVATION_DECAY` a step, so
that a change shows within some 50 answers.
"""

from dataclasses import dataclass

__all__ = ["EngineRates", "LearnedRates", "LinearFit", "ServiceRates"]

# Weight that an observation keeps at each later one: half is gone after 34. A process sees five to
# ten streams a second.
OBSERVATION_DECAY = 0.98
# Observations that the prior counts for, and the weight that it keeps at each observation: five
# answers outweigh it, after 30 a hundredth is left.
PRIOR_WEIGHT = 5.0
PRIOR_DECAY = 0.85
# An observation is moved to so many usual deviations from the estimate, if it is farther away.
MAX_DEVIATIONS = 3.0
# Part by which the usual deviation moves to a new one, itself counted as at most twice the limit: a
# change of the engines widens the limit within ten answers, one wild answer in ten does not.
DEVIATION_GAIN = 0.1
# The usual deviation is at least this part of the estimate: clean answers must not make the next
# change of the endpoints look like an error.
MIN_DEVIATION_FRACTION = 0.1
# Part by which one more running request lengthens a pause between events: the sheets of two engines
# say 0.7 in 100 for a step. Fitted to the pauses seen it came out between nothing and a quarter,
# since other prompts that are read in between lengthen them far more.
CROWDING_FRACTION = 0.01
# Least seconds for each unit: an estimate must stay positive for what divides by it.
MIN_SLOPE_SECONDS = 1e-7
# Spread of the arguments, relative to their squares, below which no slope can be told.
MIN_RELATIVE_SPREAD = 1e-6


@dataclass(frozen=True)
class EngineRates:
    """What placement and the fleet's plan use.

    Parameters
    ----------
    token_seconds : float
        Seconds in which an endpoint reads one more prompt token.
    base_seconds : float
        Seconds until the first event beside the reading; for a plain service, of a call.
    pause_seconds : float
        Seconds between two events of a stream.
    events : float
        Events of a stream, in the mean.
    is_learned : bool
        False while the figures are the prior's alone.
    """

    token_seconds: float = 2e-5
    base_seconds: float = 0.03
    pause_seconds: float = 0.02
    events: float = 30.0
    is_learned: bool = False

    def first_event_seconds(self, tokens: float) -> float:
        """Return the seconds until the first event with so many prompt tokens to read."""
        return self.base_seconds + self.token_seconds * tokens

    @property
    def crowding_seconds(self) -> float:
        """Seconds by which one more running request lengthens a stream."""
        return CROWDING_FRACTION * self.pause_seconds * self.events

    def endpoint_seconds(self, tokens: float) -> float:
        """Return the seconds of one endpoint that a request takes.

        Notes
        -----
        Its prompt's reading, and what it adds to the steps of all that run. The steps themselves go
        on whoever runs.
        """
        return self.token_seconds * tokens + self.crowding_seconds


class _Sums:
    """Weighted sums of a least squares line."""

    def __init__(self):
        self.weight = self.x = self.y = self.xx = self.xy = 0.0

    def add(self, x: float, y: float, weight: float) -> None:
        """Add an observation."""
        self.weight += weight
        self.x += weight * x
        self.y += weight * y
        self.xx += weight * x * x
        self.xy += weight * x * y

    def scale(self, part: float) -> None:
        """Let all that was added keep a part of its weight."""
        for name in vars(self):
            setattr(self, name, part * getattr(self, name))

    def plus(self, other: "_Sums") -> "_Sums":
        """Return the sums of both."""
        both = _Sums()
        for name in vars(self):
            setattr(both, name, getattr(self, name) + getattr(other, name))
        return both


class LinearFit:
    """Least squares of a line, with forgetting; far outliers count as near ones.

    Parameters
    ----------
    offset, slope : float
        The line that is assumed first.
    usual : float
        Argument about which the prior lies; it stands for observations at 0 and at twice this.
    """

    def __init__(self, offset: float, slope: float, usual: float):
        self._seen = _Sums()
        self._prior = _Sums()
        # As large as what is expected: the first answers count as they come.
        self._deviation = offset + slope * usual
        for x in (0.0, 2 * usual):
            self._prior.add(x, offset + slope * x, PRIOR_WEIGHT / 2)
        self.count = 0
        self.offset, self.slope = offset, slope

    def observe(self, x: float, y: float) -> None:
        """Take an observation in."""
        expected = self.at(x)
        residual = y - expected
        limit = MAX_DEVIATIONS * max(self._deviation, MIN_DEVIATION_FRACTION * expected)
        bounded = max(-limit, min(limit, residual))
        surprise = min(abs(residual), 2 * limit)
        self._deviation += DEVIATION_GAIN * (surprise - self._deviation)
        self._seen.scale(OBSERVATION_DECAY)
        self._prior.scale(PRIOR_DECAY)
        self._seen.add(x, expected + bounded, 1.0)
        self.count += 1
        self._fit(self._seen.plus(self._prior))

    def _fit(self, sums: _Sums) -> None:
        spread = sums.weight * sums.xx - sums.x * sums.x
        if spread > MIN_RELATIVE_SPREAD * sums.weight * sums.xx:
            self.slope = max(MIN_SLOPE_SECONDS, (sums.weight * sums.xy - sums.x * sums.y) / spread)
        self.offset = max(0.0, (sums.y - self.slope * sums.x) / sums.weight)

    def at(self, x: float) -> float:
        """Return the seconds that the line gives."""
        return self.offset + self.slope * x


class ServiceRates:
    """Estimates of one service.

    Parameters
    ----------
    prior : EngineRates
        Assumed until there are observations.
    """

    # Tokens of a prompt about which the prior lies.
    USUAL_TOKENS = 3000.0
    # Part by which the means of events and of pauses move to a new one.
    EVENTS_GAIN = 0.05
    PAUSE_GAIN = 0.02

    def __init__(self, prior: EngineRates | None = None):
        self._prior = prior or EngineRates()
        self._reading = LinearFit(
            self._prior.base_seconds, self._prior.token_seconds, self.USUAL_TOKENS
        )
        self._pause = self._prior.pause_seconds
        self._events = self._prior.events

    @property
    def response_count(self) -> int:
        """Number of answers that the time to the first event was learned from."""
        return self._reading.count

    def record_first_event(self, tokens: float, seconds: float) -> None:
        """Take the time to a first event, with the prompt tokens that were ahead of it."""
        self._reading.observe(tokens, seconds)

    def record_pause(self, seconds: float) -> None:
        """Take the pause before an event; a stall counts as `MAX_DEVIATIONS` usual pauses."""
        bounded = min(seconds, MAX_DEVIATIONS * self._pause)
        self._pause += self.PAUSE_GAIN * (bounded - self._pause)

    def record_call(self, seconds: float) -> None:
        """Take the time of a call that has no prompt and no events."""
        self._reading.observe(0.0, seconds)
        self._events = 0.0

    def record_event_count(self, events: int) -> None:
        """Take the number of events of a stream that has ended."""
        self._events += self.EVENTS_GAIN * (events - self._events)

    def estimate(self) -> EngineRates:
        """Return the estimates."""
        return EngineRates(
            token_seconds=self._reading.slope,
            base_seconds=self._reading.offset,
            pause_seconds=self._pause,
            events=self._events,
            is_learned=self._reading.count >= PRIOR_WEIGHT,
        )


class LearnedRates:
    """Estimates of all services."""

    def __init__(self):
        self._services: dict[str, ServiceRates] = {}

    def for_service(self, service: str) -> ServiceRates:
        """Return the estimates of a service."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServiceRates()
        return found

    def list_services(self) -> tuple[tuple[str, ServiceRates], ...]:
        """Return the services of which there are estimates, with these."""
        return tuple(self._services.items())
