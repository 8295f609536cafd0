package control

import (
	"cmp"
	"time"

	"github.com/fieldpond/fieldpond/internal/lease"
)

// Config bounds what control asks of engines, weight store and table.
type Config struct {
	// Lease fixes the times of the leases.
	Lease lease.Config
	// LoadsPerSecond is the weight store's limit, shared by all groups.
	// Default: 0.5.
	LoadsPerSecond float64
	// MaxLoadsPerZone is the most engines of a zone and group that load at
	// once. Default: 1.
	MaxLoadsPerZone int
	// LoadTimeout is when a load that does not show is ordered again.
	// Default: 10m.
	LoadTimeout time.Duration
	// ReportInterval is how often a holder reads an engine's load report.
	// Default: 2s.
	ReportInterval time.Duration
	// MaxReportAge is the oldest report that is acted on. Default: 10s.
	MaxReportAge time.Duration
	// RetryPause is the first pause after a lost or refused order; it doubles
	// with each loss. Default: 500ms.
	RetryPause time.Duration
	// MaxRetryPause is the longest such pause. Default: 15s.
	MaxRetryPause time.Duration
	// RequestTimeout bounds one request to an engine. Default: 3s.
	RequestTimeout time.Duration
	// Workers is the number of requests to engines at once. Default: 8.
	Workers int
}

const (
	defaultLoadsPerSecond = 0.5
	defaultLoadsPerZone   = 1
	defaultLoadTimeout    = 10 * time.Minute
	defaultReportInterval = 2 * time.Second
	defaultMaxReportAge   = 10 * time.Second
	defaultRetryPause     = 500 * time.Millisecond
	defaultMaxRetryPause  = 15 * time.Second
	defaultRequestTimeout = 3 * time.Second
	defaultWorkers        = 8
	maxDoublings          = 16
	// maxReadsPerSecond bounds the load reports read for one group; in a larger
	// group each engine is read more rarely.
	maxReadsPerSecond = 100
	// readsPerMaxAge is how many reads are missed before a report is too old.
	readsPerMaxAge = 4
)

func (c Config) withDefaults() Config {
	c.LoadsPerSecond = cmp.Or(max(0, c.LoadsPerSecond), defaultLoadsPerSecond)
	c.MaxLoadsPerZone = cmp.Or(max(0, c.MaxLoadsPerZone), defaultLoadsPerZone)
	c.LoadTimeout = cmp.Or(max(0, c.LoadTimeout), defaultLoadTimeout)
	c.ReportInterval = cmp.Or(max(0, c.ReportInterval), defaultReportInterval)
	c.MaxReportAge = cmp.Or(max(0, c.MaxReportAge), defaultMaxReportAge)
	c.RetryPause = cmp.Or(max(0, c.RetryPause), defaultRetryPause)
	c.MaxRetryPause = cmp.Or(max(0, c.MaxRetryPause), defaultMaxRetryPause)
	c.RequestTimeout = cmp.Or(max(0, c.RequestTimeout), defaultRequestTimeout)
	c.Workers = cmp.Or(max(0, c.Workers), defaultWorkers)
	return c
}

// backoff returns the pause after so many losses in a row.
func (c Config) backoff(failures int) time.Duration {
	return min(c.RetryPause<<min(failures-1, maxDoublings), c.MaxRetryPause)
}
