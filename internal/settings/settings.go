// Package settings reads the settings of one router process: names, addresses
// and limits. Tenants, engines and models are configured in the fleet file.
package settings

//go:generate go run ./gen

import "time"

// Settings are the settings of one router process.
type Settings struct {
	// Node is the name of this router, unique among all routers. Required.
	Node string `yaml:"node"`
	// Zone is the zone of this router, as named in the fleet file. Required.
	Zone string `yaml:"zone"`
	// Listen is the address for callers and operators over HTTP: host:port, the host an IP address. Required.
	Listen string `yaml:"listen"`
	// Advertise is the HTTP address by which other routers reach this one: host:port, the host an IP address. Not set means the listen address.
	Advertise string `yaml:"advertise"`
	// GossipListen is the UDP address for gossip between routers: host:port, the host an IP address. Required.
	GossipListen string `yaml:"gossipListen"`
	// GossipAdvertise is the UDP address by which other routers reach this one. Not set means the gossip listen address.
	GossipAdvertise string `yaml:"gossipAdvertise"`
	// Platform is the URL of the platform's services, "http://" or "https://" and a host that is an IP address. Required.
	Platform string `yaml:"platform"`
	// Seeds lists gossip addresses of other routers to join, in addition to the platform's machine list. Empty means the machine list only.
	Seeds []string `yaml:"seeds"`
	// ClusterKey is the source of the key that all routers of a deployment share; it authenticates gossip and seals resume tokens. Set exactly one of its fields.
	ClusterKey ClusterKeySource `yaml:"clusterKey"`
	// LogLevel is the least severe level that is logged: "debug", "info", "warn" or "error".
	LogLevel string `yaml:"logLevel"`
	// StopGrace is the longest that a planned stop waits for open requests to finish. Exceeding it is logged as a fault.
	StopGrace time.Duration `yaml:"stopGrace"`
	// Limits bounds the requests of callers.
	Limits Limits `yaml:"limits"`
	// Table bounds the use of the platform's table service.
	Table Table `yaml:"table"`
	// Intervals sets how often the router polls and probes.
	Intervals Intervals `yaml:"intervals"`
	// Control limits the weight loads that this router orders from engines.
	Control Control `yaml:"control"`

	clusterKey Secret
}

// ClusterKeySource names the source of the cluster key, never the key itself.
type ClusterKeySource struct {
	// File is the path of a file with the key, at least 32 bytes; a trailing line end is not part of the key.
	File string `yaml:"file"`
	// Environment is the name of an environment variable with the key, at least 32 bytes.
	Environment string `yaml:"environment"`
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// MaxHeaderBytes is the largest request header, in bytes.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// MaxOpenRequests is the most requests open at one time; further ones are refused before execution.
	MaxOpenRequests int `yaml:"maxOpenRequests"`
}

// Table bounds the use of the platform's table service.
type Table struct {
	// RequestsPerSecond is this router's share of the table service's rate limit, in requests a second.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	// Timeout is the longest wait for one answer of the table service.
	Timeout time.Duration `yaml:"timeout"`
	// ClaimTimeout is the longest that a non-repeatable request waits for its claim before it is refused without execution.
	ClaimTimeout time.Duration `yaml:"claimTimeout"`
	// ClaimRetention is how long an idempotency key is kept after its request arrived; at least 1h. After that the key counts as new. Set the same value on all routers.
	ClaimRetention time.Duration `yaml:"claimRetention"`
}

// Intervals sets how often the router polls and probes.
type Intervals struct {
	// LoadPoll is the time between two reads of a back end's load report.
	LoadPoll time.Duration `yaml:"loadPoll"`
	// MachinePoll is the time between two reads of the platform's machine list.
	MachinePoll time.Duration `yaml:"machinePoll"`
	// GossipProbe is the time between two gossip probes.
	GossipProbe time.Duration `yaml:"gossipProbe"`
}

// Control limits the weight loads that this router orders from engines.
type Control struct {
	// LoadsPerSecond is the rate of weight loads ordered for each group of engines, in loads a second; keep it below the weight store's limit.
	LoadsPerSecond float64 `yaml:"loadsPerSecond"`
	// MaxLoadsPerZone is the most engines of a zone that load weights at the same time.
	MaxLoadsPerZone int `yaml:"maxLoadsPerZone"`
}

// Default returns the default settings; the required ones are left empty.
func Default() Settings {
	return Settings{
		LogLevel:  "info",
		StopGrace: 5 * time.Minute,
		Limits:    Limits{MaxBodyBytes: 8 << 20, MaxHeaderBytes: 32 << 10, MaxOpenRequests: 4096},
		Table: Table{
			RequestsPerSecond: 50,
			Timeout:           time.Second,
			ClaimTimeout:      2 * time.Second,
			ClaimRetention:    48 * time.Hour,
		},
		Intervals: Intervals{
			LoadPoll:    250 * time.Millisecond,
			MachinePoll: 2 * time.Second,
			GossipProbe: 500 * time.Millisecond,
		},
		Control: Control{LoadsPerSecond: 0.5, MaxLoadsPerZone: 1},
	}
}

// Key returns the cluster key that Load read.
func (s *Settings) Key() Secret { return s.clusterKey }
