package backend

import (
	"cmp"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/mechanism"
	"github.com/fieldpond/fieldpond/internal/region"
)

// Config holds the constants of the choice. Zero fields take the defaults.
type Config struct {
	// Zone is where this router is.
	Zone ident.Zone
	// Regions tells which zones lie in one region. Default: all do.
	Regions region.Map
	// ZoneHop is the price of a back end in another zone of the same region. Default: 3ms.
	ZoneHop time.Duration
	// RegionHop is the price of a back end in another region until a round trip there
	// was measured, which is the price from then on. Default: 40ms.
	RegionHop time.Duration
	// PrefillPerToken is the time an engine is taken to need for one token of a
	// prompt until its service was seen to need another. Default: 26µs.
	PrefillPerToken time.Duration
	// Disabled are the mechanisms that are switched off. Default: none.
	Disabled mechanism.Disabled
	// SilentAfter is how long a back end with open attempts may be silent,
	// beyond what was predicted, before it gets no new work. Default: 500ms.
	SilentAfter time.Duration
	// DrainServeTime is how long a back end that says that it leaves may get an attempt that no
	// other one can take, counted from when this router first heard so. Default: 1s.
	DrainServeTime time.Duration
}

const (
	defaultZoneHop      = 3 * time.Millisecond
	defaultRegionHop    = 40 * time.Millisecond
	defaultReadPerToken = 26 * time.Microsecond
	defaultSilentAfter  = 500 * time.Millisecond
	// Back ends that leave serve for two seconds after they said so.
	defaultLeavingServes = time.Second
	// spillPrice is the price of a shared part at an engine that is not the home
	// of its prompt, in times that it takes to read it there: it may have to be
	// fetched or read again.
	spillPrice = 1.6
	// farSpillPrice is that price in another region than the home's: what was kept of
	// the part takes five times as long from there as from another zone.
	farSpillPrice = 3.2
	// congestedAt is the mean lateness of a service's answers at which its
	// congestion is 1.
	congestedAt = 100 * time.Millisecond
	// failureHalfLife is how fast a failure is forgotten.
	failureHalfLife = 2 * time.Second
	// failurePenalty is the price of a back end all of whose attempts fail.
	failurePenalty = 3 * time.Second
	// firstPause and maxPause bound how long a back end rests after a failure
	// to reach it; the pause doubles with each one in a row.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// firstRefusal and maxRefusal bound how long a back end that was full gets
	// no new work; the pause doubles with each refusal in a row.
	firstRefusal = 60 * time.Millisecond
	maxRefusal   = 800 * time.Millisecond
	// firstEngineRefusal is the first pause of an engine that runs models: it
	// mostly refuses because it takes new weights, which is soon known but not
	// soon over.
	firstEngineRefusal = 250 * time.Millisecond
	// lateFactor times the usual lateness of a back end may pass before its silence
	// is a bad sign.
	lateFactor = 3
	// beginFactor times the predicted wait may pass until a request begins.
	beginFactor = 2
	// costGrain is the difference in cost below which back ends count as equal.
	costGrain = 2 * time.Millisecond
	// uncertainPenalty is the price of weights that may have expired.
	uncertainPenalty = 5 * time.Second
	// excessWeight is the part of a new observation in the mean excess, and
	// excessHalfLife how fast the mean is forgotten.
	excessWeight   = 0.3
	excessHalfLife = time.Second
	// assumedFor is how long an assumed version stands: the list lags by less.
	assumedFor = 2 * time.Second
	// loadingFor is how long a back end gets no work after it was said to take
	// new weights, if no time was told, unless it is known to have them before.
	loadingFor = 700 * time.Millisecond
	// versionPause is how long a back end whose version was not as believed
	// rests, unless the list tells a newer one before.
	versionPause = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.ZoneHop <= 0 {
		c.ZoneHop = defaultZoneHop
	}
	if c.RegionHop <= 0 {
		c.RegionHop = defaultRegionHop
	}
	if c.PrefillPerToken <= 0 {
		c.PrefillPerToken = defaultReadPerToken
	}
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
	}
	c.DrainServeTime = cmp.Or(c.DrainServeTime, defaultLeavingServes)
	return c
}
