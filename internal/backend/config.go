package backend

import (
	"cmp"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Config holds the parameters of the choice. Zero fields take the defaults.
type Config struct {
	// Zone is the zone of this router.
	Zone ident.Zone
	// Regions maps zones to regions. Default: one region.
	Regions region.Map
	// ZoneHop is the cost of a back end in another zone of the same region. Default: 3ms.
	ZoneHop time.Duration
	// RegionHop is the cost of a back end in another region until a round trip to its zone was
	// measured. Default: 40ms.
	RegionHop time.Duration
	// PrefillPerToken is the assumed prefill time of one token until the rate of the service
	// was observed. Default: 26µs.
	PrefillPerToken time.Duration
	// Disabled are the mechanisms that are switched off. Default: none.
	Disabled mechanism.Disabled
	// SilentAfter is how long a back end with open attempts may be silent,
	// beyond what was predicted, before it gets no new work. Default: 500ms.
	SilentAfter time.Duration
	// DrainServeTime is how long a draining back end may get attempts that no other one can
	// take, from when this router first learned of the drain. Default: 1s.
	DrainServeTime time.Duration
	// AwaitPastReleases is whether releases that are not listed may have served shortly before this router
	// started, until ObservePastReleases is called. Default: the list tells all.
	AwaitPastReleases bool
}

const (
	defaultZoneHop         = 3 * time.Millisecond
	defaultRegionHop       = 40 * time.Millisecond
	defaultPrefillPerToken = 26 * time.Microsecond
	defaultSilentAfter     = 500 * time.Millisecond
	// Back ends serve for two seconds after they advertise a drain.
	defaultDrainServeTime = time.Second
	// spillFactor is the cost of a shared part at an engine other than the prompt's home, in
	// units of its prefill time: it may have to be fetched or prefilled again.
	spillFactor = 1.6
	// farSpillFactor is that cost in another region than the home's, from where fetching takes
	// five times as long as from another zone.
	farSpillFactor = 3.2
	// fullCongestionLateness is the mean lateness of a service's answers at which its
	// congestion is 1.
	fullCongestionLateness = 100 * time.Millisecond
	// failureHalfLife is the half-life of the recent attempts and failures of a back end.
	failureHalfLife = 2 * time.Second
	// failurePenalty is the cost of a back end all of whose attempts fail.
	failurePenalty = 3 * time.Second
	// firstFailurePause and maxFailurePause bound the pause of a back end that could not be
	// reached; it doubles with each failure in a row.
	firstFailurePause = 250 * time.Millisecond
	maxFailurePause   = 2 * time.Second
	// firstRefusalPause and maxRefusalPause bound the pause of a back end that was full; it
	// doubles with each refusal in a row.
	firstRefusalPause = 60 * time.Millisecond
	maxRefusalPause   = 800 * time.Millisecond
	// firstEngineRefusalPause is the first pause of an engine that runs models: it mostly
	// refuses because it loads new weights, which takes longer.
	firstEngineRefusalPause = 250 * time.Millisecond
	// silenceLatenessFactor times the recent lateness of a back end may pass before its silence
	// counts.
	silenceLatenessFactor = 3
	// beginWaitFactor times the predicted wait may pass until a request begins.
	beginWaitFactor = 2
	// costGrain is the difference in cost below which back ends count as equal.
	costGrain = 2 * time.Millisecond
	// uncertainVersionPenalty is the cost of weights that may have expired.
	uncertainVersionPenalty = 5 * time.Second
	// latenessWeight is the weight of a new observation in the mean lateness, and
	// latenessHalfLife the half-life of the mean.
	latenessWeight   = 0.3
	latenessHalfLife = time.Second
	// assumedVersionTTL is how long an assumed version counts: the instance list lags by less.
	assumedVersionTTL = 2 * time.Second
	// defaultLoadingTime is how long a back end that loads new weights gets no work, if no time
	// was given, unless it is known to have them earlier.
	defaultLoadingTime = 700 * time.Millisecond
	// wrongVersionPause is how long a back end whose version was not as expected is paused,
	// unless the list shows a newer one earlier.
	wrongVersionPause = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.ZoneHop <= 0 {
		c.ZoneHop = defaultZoneHop
	}
	if c.RegionHop <= 0 {
		c.RegionHop = defaultRegionHop
	}
	if c.PrefillPerToken <= 0 {
		c.PrefillPerToken = defaultPrefillPerToken
	}
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
	}
	c.DrainServeTime = cmp.Or(c.DrainServeTime, defaultDrainServeTime)
	return c
}
