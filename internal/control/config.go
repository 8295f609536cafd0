package control

import (
	"cmp"
	"time"

	"github.com/fieldpond/fieldpond/internal/lease"
)

// Config bounds the load that control puts on engines, weight store and table.
type Config struct {
	// Lease sets the times of the leases.
	Lease lease.Config
	// LoadsPerSecond is the weight store's limit, shared by all groups.
	// Default: 0.5.
	LoadsPerSecond float64
	// MaxLoadsPerZone is the largest number of engines of a zone and group that load at one time.
	// Default: 1.
	MaxLoadsPerZone int
	// LoadTimeout is the time after which a load that no report shows is ordered again.
	// Default: 10m.
	LoadTimeout time.Duration
	// ReportInterval is how often a holder reads an engine's load report.
	// Default: 2s.
	ReportInterval time.Duration
	// MaxReportAge is the oldest report that is acted on. Default: 10s.
	MaxReportAge time.Duration
	// RetryPause is the first pause after an unanswered or refused order; it doubles with each one
	// unanswered. Default: 500ms.
	RetryPause time.Duration
	// MaxRetryPause is the longest such pause. Default: 15s.
	MaxRetryPause time.Duration
	// RequestTimeout bounds one request to an engine. Default: 3s.
	RequestTimeout time.Duration
	// Workers is the number of concurrent requests to engines. Default: 8.
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
	// maxReadsPerSecond bounds the load reports read for one group; in a larger group each engine's
	// report is read less often.
	maxReadsPerSecond = 100
	// readsPerMaxAge is how many report intervals pass before a report is too old.
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

// backoff returns the pause after a number of unanswered orders in a row, at least 1.
func (c Config) backoff(failures int) time.Duration {
	return min(c.RetryPause<<min(failures-1, maxDoublings), c.MaxRetryPause)
}
