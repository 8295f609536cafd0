package claim

import (
	"cmp"
	"time"
)

// Config bounds the work of a Core and its Manager.
type Config struct {
	// Timeout is the longest a claim waits for the table. Default: 1s.
	Timeout time.Duration
	// Window is how long an operation waits for others to share its transaction. Default: 2ms.
	Window time.Duration
	// MaxBatch is the most operations in one transaction. Default: 64.
	MaxBatch int
	// MaxInFlight is the most transactions without an answer. Default: 4.
	MaxInFlight int
	// MaxWaiting is the most claims that wait for a transaction. Default: 2048.
	MaxWaiting int
	// MaxBackground is the most outcomes that wait to be recorded; further ones
	// are dropped and counted. Default: 4096.
	MaxBackground int
	// TransactionsPerSecond is this router's part of the table's rate limit.
	// Default: 50.
	TransactionsPerSecond float64
	// CommitTimeout bounds one transaction. Default: Timeout / 2.
	CommitTimeout time.Duration
}

// Defaults of Config.
const (
	defaultTimeout               = time.Second
	defaultWindow                = 2 * time.Millisecond
	defaultMaxBatch              = 64
	defaultMaxInFlight           = 4
	defaultMaxWaiting            = 2048
	defaultMaxBackground         = 4096
	defaultTransactionsPerSecond = 50
)

func (c Config) withDefaults() Config {
	c.Timeout = cmp.Or(max(0, c.Timeout), defaultTimeout)
	c.Window = cmp.Or(max(0, c.Window), defaultWindow)
	c.MaxBatch = cmp.Or(max(0, c.MaxBatch), defaultMaxBatch)
	c.MaxInFlight = cmp.Or(max(0, c.MaxInFlight), defaultMaxInFlight)
	c.MaxWaiting = cmp.Or(max(0, c.MaxWaiting), defaultMaxWaiting)
	c.MaxBackground = cmp.Or(max(0, c.MaxBackground), defaultMaxBackground)
	c.TransactionsPerSecond = cmp.Or(max(0, c.TransactionsPerSecond), defaultTransactionsPerSecond)
	c.CommitTimeout = cmp.Or(max(0, c.CommitTimeout), c.Timeout/2)
	return c
}
