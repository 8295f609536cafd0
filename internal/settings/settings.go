// Package settings reads what one router process must know before it can join
// the others: its names, its addresses and its limits. Everything about
// tenants, engines and models stands in the fleet file instead.
package settings

//go:generate go run ./gen

import "time"

// Settings are the settings of one router process.
type Settings struct {
	// Node is the name of this router, unique among all routers. Required.
	Node string `yaml:"node"`
	// Zone is the zone this router stands in, as the fleet file names it. Required.
	Zone string `yaml:"zone"`
	// Listen is the address for callers and operators over HTTP: host:port, the host an IP number. Required.
	Listen string `yaml:"listen"`
	// Advertise is the HTTP address that the other routers are told: host:port, the host an IP number that they can reach. Not set means the listen address.
	Advertise string `yaml:"advertise"`
	// GossipListen is the UDP address for gossip between routers: host:port, the host an IP number. Required.
	GossipListen string `yaml:"gossipListen"`
	// GossipAdvertise is the UDP address that the other routers are told. Not set means the gossip listen address.
	GossipAdvertise string `yaml:"gossipAdvertise"`
	// Platform is the URL of the platform's services, "http://" or "https://" and a host that is an IP number. Required.
	Platform string `yaml:"platform"`
	// Seeds lists gossip addresses of other routers to join by, beside the platform's machine list. Empty means the machine list only.
	Seeds []string `yaml:"seeds"`
	// ClusterKey says where the key stands that all routers of a deployment share; it authenticates gossip and seals resume tokens. Set exactly one of its fields.
	ClusterKey ClusterKeySource `yaml:"clusterKey"`
	// LogLevel is the least severe level that is logged: "debug", "info", "warn" or "error".
	LogLevel string `yaml:"logLevel"`
	// StopGrace is the longest a planned stop waits for open requests to finish. A stop that runs into it is logged as a fault.
	StopGrace time.Duration `yaml:"stopGrace"`
	// Limits bounds what callers may send.
	Limits Limits `yaml:"limits"`
	// Table bounds the use of the platform's table service.
	Table Table `yaml:"table"`
	// Intervals says how often the router looks at what others say.
	Intervals Intervals `yaml:"intervals"`
	// Control paces the orders to engines while this router is in charge of them.
	Control Control `yaml:"control"`

	clusterKey Secret
}

// ClusterKeySource says where the cluster key stands; never the key itself.
type ClusterKeySource struct {
	// File is the path of a file that holds the key, at least 32 bytes; a line end after it is not part of the key.
	File string `yaml:"file"`
	// Environment is the name of an environment variable that holds the key, at least 32 bytes.
	Environment string `yaml:"environment"`
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// MaxHeaderBytes is the largest request header, in bytes.
	MaxHeaderBytes int `yaml:"maxHeaderBytes"`
	// MaxOpenRequests is the most requests open at one time; more are refused, not run.
	MaxOpenRequests int `yaml:"maxOpenRequests"`
}

// Table bounds the use of the platform's table service.
type Table struct {
	// RequestsPerSecond is this router's share of the table service's rate limit, in requests a second.
	RequestsPerSecond float64 `yaml:"requestsPerSecond"`
	// Timeout is the longest wait for one answer of the table service.
	Timeout time.Duration `yaml:"timeout"`
	// ClaimTimeout is the longest a request that may not be repeated waits for its claim before it is refused, not run.
	ClaimTimeout time.Duration `yaml:"claimTimeout"`
	// ClaimRetention is how long an idempotency key is remembered after its request came; at least 1h. A key that comes back later counts as new. Set it alike on all routers.
	ClaimRetention time.Duration `yaml:"claimRetention"`
}

// Intervals says how often the router looks at what others say.
type Intervals struct {
	// LoadPoll is the time between two reads of a back end's load report.
	LoadPoll time.Duration `yaml:"loadPoll"`
	// MachinePoll is the time between two reads of the platform's machine list.
	MachinePoll time.Duration `yaml:"machinePoll"`
	// GossipProbe is the time between two gossip probes.
	GossipProbe time.Duration `yaml:"gossipProbe"`
}

// Control paces the orders to engines while this router is in charge of them.
type Control struct {
	// LoadsPerSecond is how many loads of model weights are ordered a second for each group of engines; keep it below the weight store's limit.
	LoadsPerSecond float64 `yaml:"loadsPerSecond"`
	// MaxLoadsPerZone is the most engines of a zone that load weights at one time.
	MaxLoadsPerZone int `yaml:"maxLoadsPerZone"`
}

// Default returns the settings that hold where nothing else is set. It lacks
// the required ones.
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
