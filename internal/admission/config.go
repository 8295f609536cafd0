package admission

// Config bounds a Queue.
type Config struct {
	// MaxWaiting is the most items that wait. Default: 8192.
	MaxWaiting int
	// MaxWaitingPerTenant is the most items of one tenant that wait.
	// Default: a quarter of MaxWaiting, at least 1.
	MaxWaitingPerTenant int
	// MaxBlockedPerPump is the number of ItemBlocked results after which a Pump ends early.
	// Default: 128.
	MaxBlockedPerPump int
}

const (
	defaultMaxWaiting        = 8192
	defaultMaxBlockedPerPump = 128
	// tenantDivisor divides MaxWaiting to the limit of one tenant.
	tenantDivisor = 4
	// agingInterval is the number of dispatches of more urgent classes after which a pool is
	// due.
	agingInterval = 16
	// agedSpacing is the least number of dispatches for one of a due pool, so that the regular
	// order keeps three quarters.
	agedSpacing = 4
	// maxLag bounds the service, in tokens for a weight of 1, that a waiting tenant may catch
	// up after a delay.
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
