package admission

// Config bounds a Queue.
type Config struct {
	// MaxWaiting is the most items that wait. Default: 8192.
	MaxWaiting int
	// MaxWaitingPerTenant is the most items of one tenant that wait.
	// Default: a quarter of MaxWaiting, at least 1.
	MaxWaitingPerTenant int
	// MaxBlockedPerPump is the most items that one Pump finds to be held by
	// themselves (ItemBlocked) before it ends early. Default: 128.
	MaxBlockedPerPump int
}

const (
	defaultMaxWaiting        = 8192
	defaultMaxBlockedPerPump = 128
	// tenantDivisor is the part of MaxWaiting that one tenant may fill.
	tenantDivisor = 4
	// agingInterval is how often a pool of a class is passed over by
	// dispatches of more urgent classes before it is due for a turn.
	agingInterval = 16
	// agedSpacing allows at most one due turn in so many dispatches, so that
	// the regular order keeps three quarters of them.
	agedSpacing = 4
	// maxLag bounds the service, in tokens for a weight of 1, that a tenant
	// with waiting items can fall behind and later catch up.
	maxLag = 1 << 20
)

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.MaxWaitingPerTenant <= 0 {
		c.MaxWaitingPerTenant = max(1, c.MaxWaiting/tenantDivisor)
	}
	if c.MaxBlockedPerPump <= 0 {
		c.MaxBlockedPerPump = defaultMaxBlockedPerPump
	}
	return c
}
