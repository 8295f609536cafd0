package backend

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/routing/rendezvous"
)

// Config holds the constants of the choice. Zero fields take the defaults.
type Config struct {
	// Zone is where this router is.
	Zone ident.Zone
	// ZoneHop is the price of a back end in another zone. Default: 3ms.
	ZoneHop time.Duration
	// ReadPerToken is the time an engine is taken to need for one token of a
	// prompt until its service was seen to need another. Default: 26µs.
	ReadPerToken time.Duration
	// SilentAfter is how long a back end with open attempts may be silent,
	// beyond what was predicted, before it gets no new work. Default: 500ms.
	SilentAfter time.Duration
}

const (
	defaultZoneHop      = 3 * time.Millisecond
	defaultReadPerToken = 26 * time.Microsecond
	defaultSilentAfter  = 500 * time.Millisecond
	// spillPrice is the price of a shared part at an engine that is not the home
	// of its prompt, in times that it takes to read it there: it may have to be
	// fetched or read again.
	spillPrice = 1.6
	// congestedAt is the mean lateness of a service's answers at which that price
	// is doubled, as work done twice delays all others; mostCongested bounds by how
	// many times it grows.
	congestedAt   = 100 * time.Millisecond
	mostCongested = 6
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
	// new weights, unless it is known to have them before.
	loadingFor = 700 * time.Millisecond
	// versionPause is how long a back end whose version was not as believed
	// rests, unless the list tells a newer one before.
	versionPause = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.ZoneHop <= 0 {
		c.ZoneHop = defaultZoneHop
	}
	if c.ReadPerToken <= 0 {
		c.ReadPerToken = defaultReadPerToken
	}
	if c.SilentAfter <= 0 {
		c.SilentAfter = defaultSilentAfter
	}
	return c
}

// Registry believes the newest list of back ends and chooses among them.
type Registry struct {
	config Config

	mutex    sync.Mutex
	services map[ident.Service][]*state
	readings map[ident.Service]*reading
	byID     map[ident.Incarnation]*state
	listedAt time.Time
}

// NewRegistry returns a registry that knows no back end.
func NewRegistry(config Config) *Registry {
	return &Registry{
		config:   config.withDefaults(),
		services: make(map[ident.Service][]*state),
		readings: make(map[ident.Service]*reading),
		byID:     make(map[ident.Incarnation]*state),
	}
}

// ListedAt returns the time of the newest list taken in; zero means none.
func (r *Registry) ListedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.listedAt
}

// Records returns the newest list, ordered by instance.
func (r *Registry) Records() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	records := make([]Record, 0, len(r.byID))
	for _, known := range r.byID {
		records = append(records, known.record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		switch {
		case a.Instance < b.Instance:
			return -1
		case a.Instance > b.Instance:
			return 1
		}
		return 0
	})
	return records
}

// Change is one difference between two lists.
type Change struct {
	Kind   ChangeKind
	Record Record
}

// ChangeKind says what became of a back end.
type ChangeKind string

// The kinds of change.
const (
	Appeared ChangeKind = "appeared"
	Drained  ChangeKind = "draining"
	Gone     ChangeKind = "gone"
	Reloaded ChangeKind = "reloaded"
)

// Update takes in a whole list as it was at a time; an older list than the
// newest one is ignored. It returns what changed.
func (r *Registry) Update(listedAt time.Time, records []Record) []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listedAt.Before(r.listedAt) {
		return nil
	}
	r.listedAt = listedAt
	var changes []Change
	listed := make(map[ident.Incarnation]*state, len(records))
	services := make(map[ident.Service][]*state)
	for _, record := range records {
		known, change := r.listed(record)
		if change != "" {
			changes = append(changes, Change{Kind: change, Record: record})
		}
		listed[record.Instance] = known
		services[record.Service] = append(services[record.Service], known)
	}
	for instance, known := range r.byID {
		if listed[instance] == nil {
			changes = append(changes, Change{Kind: Gone, Record: known.record})
		}
	}
	r.byID, r.services = listed, services
	return changes
}

// Confirm takes in that the newest list still held at a time.
func (r *Registry) Confirm(listedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if listedAt.After(r.listedAt) {
		r.listedAt = listedAt
	}
}

// listed takes in one record and tells what changed, if anything.
func (r *Registry) listed(record Record) (*state, ChangeKind) {
	known := r.byID[record.Instance]
	if known == nil {
		return &state{record: record, flights: make(map[*Flight]struct{})}, Appeared
	}
	if record.Revision < known.record.Revision {
		return known, ""
	}
	var change ChangeKind
	record.Models = newestOf(known.record.Models, record.Models)
	for model, version := range record.Models {
		if known.record.Models[model] != version {
			change = Reloaded
			known.pausedUntil = time.Time{}
		}
	}
	if record.Draining && !known.record.Draining {
		change = Drained
	}
	known.record = record
	return known, change
}

// newestOf returns the versions that a list tells, but for those of which newer
// ones were seen before: a back end never goes back within one life, and the list
// lags.
func newestOf(seen, told map[ident.Model]int) map[ident.Model]int {
	newest := maps.Clone(told)
	for model, version := range told {
		newest[model] = max(version, seen[model])
	}
	return newest
}

// VersionSeen takes in that a back end was seen at a version of a model's
// weights, by an answer or a report newer than the list.
func (r *Registry) VersionSeen(instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known == nil || known.record.Models[model] >= version {
		return
	}
	models := make(map[ident.Model]int, len(known.record.Models))
	maps.Copy(models, known.record.Models)
	models[model] = version
	known.record.Models = models
	known.pausedUntil = time.Time{}
}

// AssumeVersion takes a back end to have a version of a model's weights until
// the list must have told it. It decides where attempts go and is no fact:
// Records does not tell it.
func (r *Registry) AssumeVersion(now time.Time, instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.assumed, known.assumedModel = version, model
		known.assumedUntil = now.Add(assumedFor)
	}
}

// Loading takes in that a back end is about to take a version of a model's
// weights. It gets no work of that model for the usual time of that, and is then
// taken to have the version, until the list must have told it.
func (r *Registry) Loading(now time.Time, instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.byID[instance]; known != nil {
		known.loading, known.loadingModel = version, model
		known.loadingUntil = now.Add(loadingFor)
	}
}

// NotLoading takes back that a back end is about to take a version.
func (r *Registry) NotLoading(instance ident.Incarnation, model ident.Model, version int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.byID[instance]
	if known != nil && known.loadingModel == model && known.loading == version {
		known.loadingUntil = time.Time{}
	}
}

// Pick chooses the back end with the least expected time for an attempt and
// counts the attempt against it. It returns false if no back end may be used.
func (r *Registry) Pick(now time.Time, query *Query) (Choice, *Flight, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	home := r.home(query)
	best, candidates := r.cheapest(now, query, home)
	if best == nil {
		return Choice{}, nil, false
	}
	predicted := r.predict(best, query, best == home)
	flight := &Flight{
		registry: r, target: best, dueAt: now.Add(predicted),
		model: query.Model, version: best.version(now, query.Model),
	}
	flight.tokens = query.OwnTokens
	if best != home {
		flight.tokens += query.SharedTokens
	} else if best.waitingTokens() == 0 {
		flight.sentAt = now
	}
	best.flights[flight] = struct{}{}
	choice := Choice{
		Record: best.record, Version: flight.version, Home: best == home,
		Predicted: predicted, Late: best.excessAt(now), Congestion: r.congestion(now, query.Service), Candidates: candidates,
	}
	if home != nil {
		choice.HomeZone = home.record.Zone
	}
	return choice, flight, true
}

// cheapest returns the back end of the least cost, or nil, and the number of
// those that may be used. Among equals the query's own order decides, so that
// they share the work and routers agree on who stands in for a home.
func (r *Registry) cheapest(now time.Time, query *Query, home *state) (best *state, candidates int) {
	bestCost := math.Inf(1)
	var bestScore uint64
	for _, candidate := range r.services[query.Service] {
		if !candidate.eligible(now, query) {
			continue
		}
		cost := r.cost(now, candidate, query, candidate == home)
		if math.IsInf(cost, 1) {
			continue
		}
		candidates++
		cost = math.Floor(cost / costGrain.Seconds())
		score := rendezvous.Score(query.SpreadKey, ident.Engine(candidate.record.Instance))
		if cost < bestCost || (cost == bestCost && score > bestScore) {
			best, bestCost, bestScore = candidate, cost, score
		}
	}
	return best, candidates
}

// home returns the back end that ranks first for the shared part of the
// prompt among all that serve it, whether it is usable now or not.
func (r *Registry) home(query *Query) *state {
	if query.HomeKey == 0 {
		return nil
	}
	var best *state
	var bestScore uint64
	for _, candidate := range r.services[query.Service] {
		if candidate.record.Draining {
			continue
		}
		name := ident.Engine(candidate.record.Instance)
		score := rendezvous.Score(query.HomeKey, name)
		if best == nil || rendezvous.Better(score, name, bestScore, ident.Engine(best.record.Instance)) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// predict returns the expected time to the first byte of the answer.
func (r *Registry) predict(candidate *state, query *Query, home bool) time.Duration {
	if query.Model == "" {
		ahead := float64(len(candidate.flights)) / float64(max(candidate.record.Slots, 1))
		return query.Expected + time.Duration(ahead*float64(query.Expected))
	}
	learned := r.reading(query.Service)
	predicted := learned.of(candidate.waitingTokens() + query.OwnTokens)
	if !home {
		predicted += time.Duration(spillPrice * float64(learned.of(query.SharedTokens)))
	}
	return predicted
}

// reading returns what is learned of the reading rate of a service's engines.
func (r *Registry) reading(service ident.Service) *reading {
	learned := r.readings[service]
	if learned == nil {
		fresh := newReading(r.config.ReadPerToken)
		learned = &fresh
		r.readings[service] = learned
	}
	return learned
}

// congestion returns by how much answers of a service come late on the mean of its
// back ends, in units of congestedAt.
func (r *Registry) congestion(now time.Time, service ident.Service) float64 {
	var late time.Duration
	all := r.services[service]
	for _, known := range all {
		late += known.excessAt(now)
	}
	mean := late.Seconds() / float64(max(len(all), 1))
	return min(mean/congestedAt.Seconds(), mostCongested)
}

// cost returns the expected time, in seconds, with the risks of the back end
// added to it.
func (r *Registry) cost(now time.Time, candidate *state, query *Query, home bool) float64 {
	predicted := r.predict(candidate, query, home)
	cost := (predicted + candidate.excessAt(now)).Seconds()
	switch candidate.versionRisk(now, query, predicted) {
	case versionExpired:
		return math.Inf(1)
	case versionUncertain:
		cost += uncertainPenalty.Seconds()
	}
	if candidate.record.Zone != r.config.Zone {
		cost += r.config.ZoneHop.Seconds()
	}
	candidate.decay(now)
	// One failure in few attempts says less than many in a row.
	cost += candidate.failed / (candidate.tried + 2) * failurePenalty.Seconds()
	if query.Model != "" && !home {
		spill := spillPrice * r.reading(query.Service).of(query.SharedTokens).Seconds()
		cost += r.congestion(now, query.Service) * spill
	}
	silentAfter := r.config.SilentAfter + lateFactor*candidate.excessAt(now)
	if silence := candidate.silence(now); silence > silentAfter {
		cost += failurePenalty.Seconds()
	}
	return cost
}

// InFlight returns the number of attempts under way at all back ends.
func (r *Registry) InFlight() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.byID {
		count += len(known.flights)
	}
	return count
}
