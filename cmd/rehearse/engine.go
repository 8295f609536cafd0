package main

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/engine"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/faultplan"
)

// truthFileMode lets the owner write and everyone read a truth file.
const truthFileMode = 0o644

// engineFlags are the flags of 'rehearse engine'.
type engineFlags struct {
	config        model.Config
	listen        string
	name          string
	zone          string
	models        []string
	prefillMicros float64
	tokenMillis   float64
	seed          int64
	faults        string
	truth         string
	weights       string
}

func newEngineCommand() *cobra.Command {
	flags := &engineFlags{config: model.DefaultConfig()}
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine stand-in",
		Long: `Run a process that behaves like a model engine with continuous batching and a
prefix cache: it serves the engine protocol, simulates the time of prefill and
decoding, and can inject faults, at set times or on request. It runs no model:
its answers are derived from the prompt, so that a caller can check them.

SIGTERM shuts it down gracefully: it reports that it is leaving and ends its streams.`,
		Example: `  # An engine that serves one model version from the start.
  rehearse engine --name wien-1 --zone wien-halle --listen 127.0.0.1:7101 \
      --model dispatch-llm:2026-11

  # Slower, with a small cache.
  rehearse engine --name wien-2 --zone wien-halle --listen 127.0.0.1:7102 \
      --model dispatch-llm:2026-11 --prefill-micros 300 --cache-blocks 2000`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runEngine(command, flags) },
	}
	set := command.Flags()
	set.StringVar(&flags.listen, "listen", "127.0.0.1:7100", "host:port to listen on")
	set.StringVar(&flags.name, "name", "engine-1", "engine name, as in the fleet file")
	set.StringVar(&flags.zone, "zone", "", "zone of the engine")
	set.StringArrayVar(&flags.models, "model", nil, "model loaded at start, as name:version[:adapter,adapter]; repeatable")
	set.IntVar(&flags.config.CacheBlocks, "cache-blocks", flags.config.CacheBlocks, "capacity of the block cache, in blocks")
	set.IntVar(&flags.config.BlockTokens, "block-tokens", flags.config.BlockTokens, "tokens in one cache block")
	set.Float64Var(&flags.prefillMicros, "prefill-micros", 100, "prefill time of one token, in microseconds")
	set.Float64Var(&flags.tokenMillis, "token-millis", 10, "time of a decode step of one request, in milliseconds")
	set.IntVar(&flags.config.MaxRunning, "max-running", flags.config.MaxRunning, "maximum number of requests in the batch")
	set.IntVar(&flags.config.MaxWaiting, "max-waiting", flags.config.MaxWaiting, "maximum number of requests in the waiting queue")
	set.DurationVar(&flags.config.LoadDuration, "load-duration", flags.config.LoadDuration, "time to load a version once its weights are fetched")
	set.DurationVar(&flags.config.EventDelay, "event-delay", flags.config.EventDelay, "delay of cache events")
	set.Float64Var(&flags.config.EventLoss, "event-loss", flags.config.EventLoss, "probability that a cache event is lost")
	set.DurationVar(&flags.config.LoadLag, "load-lag", flags.config.LoadLag, "age of load reports")
	set.BoolVar(&flags.config.TruthBlocks, "truth-blocks", false, "write block hashes into the truth log")
	set.Int64Var(&flags.seed, "seed", 1, "seed of all random choices; a seed in the fault plan takes precedence")
	set.StringVar(&flags.faults, "faults", "", "fault plan file (YAML); empty means no faults")
	set.StringVar(&flags.truth, "truth", "", "file to append the truth log to; empty keeps it in memory only")
	set.StringVar(&flags.weights, "weights", "", "base URL of the weight store; empty loads without fetching")
	return command
}

func runEngine(command *cobra.Command, flags *engineFlags) error {
	options, err := flags.options()
	if err != nil {
		return err
	}
	if flags.truth != "" {
		file, err := os.OpenFile(flags.truth, os.O_CREATE|os.O_APPEND|os.O_WRONLY, truthFileMode)
		if err != nil {
			return fault.Wrap(err, fault.InvalidSettings, "truth file cannot be opened").WithRemedy("give --truth a writable path")
		}
		defer func() { _ = file.Close() }()
		options.TruthWriter = file
	}
	server, err := engine.New(options)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", flags.listen)
	if err != nil {
		return fault.Wrap(err, fault.InvalidSettings, "cannot listen on %q", flags.listen).WithRemedy("give --listen a free host:port")
	}
	ctx, stop := commandline.SignalContext(command)
	defer stop()
	return server.Run(ctx, listener)
}

// options returns the options of the stand-in that the flags set.
func (f *engineFlags) options() (engine.Options, error) {
	config := f.config
	config.Name = ident.Engine(f.name)
	config.Zone = ident.Zone(f.zone)
	config.PrefillPerToken = time.Duration(f.prefillMicros * float64(time.Microsecond))
	config.DecodePerToken = time.Duration(f.tokenMillis * float64(time.Millisecond))
	for _, text := range f.models {
		loaded, err := parseLoadedModel(text)
		if err != nil {
			return engine.Options{}, err
		}
		config.Models = append(config.Models, loaded)
	}
	options := engine.Options{Model: config, Seed: f.seed, Weights: f.weights}
	if f.faults == "" {
		return options, nil
	}
	plan, err := faultplan.Load(f.faults)
	options.Plan = plan
	return options, err
}

// Numbers of colon-separated parts of a --model value.
const (
	minModelParts = 2
	maxModelParts = 3
)

// parseLoadedModel parses name:version[:adapter,adapter].
func parseLoadedModel(text string) (protocol.LoadedModel, error) {
	parts := strings.Split(text, ":")
	if len(parts) < minModelParts || len(parts) > maxModelParts || parts[0] == "" || parts[1] == "" {
		return protocol.LoadedModel{}, fault.New(fault.InvalidSettings, "model %q is malformed", text).
			WithRemedy("write --model name:version or --model name:version:adapter,adapter")
	}
	loaded := protocol.LoadedModel{Model: ident.Model(parts[0]), Version: ident.ModelVersion(parts[1])}
	if len(parts) == maxModelParts {
		for _, adapter := range strings.Split(parts[2], ",") {
			loaded.Adapters = append(loaded.Adapters, ident.Adapter(adapter))
		}
	}
	return loaded, nil
}
