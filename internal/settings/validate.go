package settings

import (
	"bytes"
	"io/fs"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// MinClusterKeyBytes is the minimum length of the cluster key.
const MinClusterKeyBytes = 32

var logLevels = []string{"debug", "info", "warn", "error"}

// validate checks every setting and reads the cluster key. It continues after
// a problem, so that one run reports all of them.
func (r *reader) validate(s *Settings) {
	r.require("node", s.Node)
	r.require("zone", s.Zone)
	if r.require("listen", s.Listen) {
		r.checkAddress("listen", s.Listen, false)
	}
	if r.require("gossipListen", s.GossipListen) {
		r.checkAddress("gossipListen", s.GossipListen, false)
	}
	r.checkAdvertised("advertise", s.Advertise)
	r.checkAdvertised("gossipAdvertise", s.GossipAdvertise)
	if r.require("platform", s.Platform) {
		r.checkPlatformURL(s.Platform)
	}
	for _, seed := range s.Seeds {
		r.checkAddress("seeds", seed, true)
	}
	r.readClusterKey(s)
	if !slices.Contains(logLevels, s.LogLevel) {
		r.problemAt("logLevel", "%q is not one of %v", s.LogLevel, logLevels)
	}
	r.validateNumbers(s)
}

// maxClaimRetention is the upper bound of table.claimRetention.
const maxClaimRetention = 366 * 24 * time.Hour

func (r *reader) validateNumbers(s *Settings) {
	r.checkRange("limits.maxBodyBytes", float64(s.Limits.MaxBodyBytes), 1<<10, 1<<30)
	r.checkRange("limits.maxHeaderBytes", float64(s.Limits.MaxHeaderBytes), 1<<10, 1<<20)
	r.checkRange("limits.maxOpenRequests", float64(s.Limits.MaxOpenRequests), 1, 1<<20)
	r.checkRange("table.requestsPerSecond", s.Table.RequestsPerSecond, 0.1, 1e6)
	r.checkRange("control.loadsPerSecond", s.Control.LoadsPerSecond, 0.001, 1000)
	r.checkRange("control.maxLoadsPerZone", float64(s.Control.MaxLoadsPerZone), 1, 1000)
	r.checkDuration("stopGrace", s.StopGrace, time.Second, 24*time.Hour)
	r.checkDuration("table.timeout", s.Table.Timeout, time.Millisecond, time.Minute)
	r.checkDuration("table.claimTimeout", s.Table.ClaimTimeout, time.Millisecond, time.Minute)
	r.checkDuration("table.claimRetention", s.Table.ClaimRetention, time.Hour, maxClaimRetention)
	r.checkDuration("intervals.loadPoll", s.Intervals.LoadPoll, 10*time.Millisecond, time.Minute)
	r.checkDuration("intervals.machinePoll", s.Intervals.MachinePoll, 10*time.Millisecond, time.Minute)
	r.checkDuration("intervals.gossipProbe", s.Intervals.GossipProbe, 10*time.Millisecond, time.Minute)
}

// problemAt adds a problem with the origin of the setting.
func (r *reader) problemAt(path, format string, arguments ...any) {
	origin, set := r.origins[path]
	if !set {
		origin = "not set"
	}
	r.addProblem(origin, path, format, arguments...)
}

func (r *reader) require(path, value string) bool {
	if value == "" {
		r.problemAt(path, "is required")
	}
	return value != ""
}

func (r *reader) checkAddress(path, value string, reachable bool) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		r.problemAt(path, "%q is not host:port with an IP address as host", value)
	case reachable && (address.Addr().IsUnspecified() || address.Port() == 0):
		r.problemAt(path, "%q cannot be reached by others: give a definite IP address and port", value)
	}
}

func (r *reader) checkAdvertised(path, value string) {
	if value != "" {
		r.checkAddress(path, value, true)
	}
}

func (r *reader) checkPlatformURL(value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		r.problemAt("platform", "is not an http:// or https:// URL")
		return
	}
	if parsed.User != nil {
		r.problemAt("platform", "must not contain a user name or password")
	}
	if _, err := netip.ParseAddr(parsed.Hostname()); err != nil {
		r.problemAt("platform", "the host %q is not an IP address", parsed.Hostname())
	}
}

func (r *reader) readClusterKey(s *Settings) {
	source := s.ClusterKey
	if (source.File == "") == (source.Environment == "") {
		r.problemAt("clusterKey", "set exactly one of file and environment")
		return
	}
	path := "clusterKey.environment"
	key := []byte(os.Getenv(source.Environment))
	if source.File != "" {
		path = "clusterKey.file"
		content, err := os.ReadFile(source.File)
		if err != nil {
			r.problemAt(path, "names a file that cannot be read: %v", withoutPath(err))
			return
		}
		key = content
	}
	key = bytes.TrimRight(key, "\r\n")
	if len(key) < MinClusterKeyBytes {
		r.problemAt(path, "names a key of %d bytes; at least %d are needed", len(key), MinClusterKeyBytes)
		return
	}
	s.clusterKey = NewSecret(key)
}

// withoutPath drops the path from a file error: it may be the key itself, given
// by mistake.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

func (r *reader) checkRange(path string, value, lower, upper float64) {
	if !(value >= lower && value <= upper) {
		r.problemAt(path, "%g is not between %g and %g", value, lower, upper)
	}
}

func (r *reader) checkDuration(path string, value, lower, upper time.Duration) {
	if value < lower || value > upper {
		r.problemAt(path, "%s is not between %s and %s", value, lower, upper)
	}
}
