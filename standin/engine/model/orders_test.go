package model

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/standin/truth"
)

func order(id string, fence uint64, kind protocol.OrderKind, version string) protocol.Order {
	return protocol.Order{
		OrderID: id, Fence: fence, ExpectedIncarnation: "incarnation-1", Kind: kind,
		Model: "m", Version: ident.ModelVersion(version), Role: RoleMixed,
	}
}

func TestOrdersAreFenced(t *testing.T) {
	cases := []struct {
		name   string
		before []protocol.Order
		order  protocol.Order
		wanted protocol.RefusalKind
	}{
		{"first", nil, order("a", 5, protocol.OrderLoad, "3"), ""},
		{"same fence", []protocol.Order{order("a", 5, protocol.OrderLoad, "3")}, order("b", 5, protocol.OrderLoad, "4"), ""},
		{"older fence", []protocol.Order{order("a", 5, protocol.OrderLoad, "3")}, order("b", 4, protocol.OrderLoad, "4"), protocol.RefusalStaleFence},
		{"retry", []protocol.Order{order("a", 5, protocol.OrderLoad, "3"), order("b", 6, protocol.OrderUnload, "3")}, order("a", 5, protocol.OrderLoad, "3"), ""},
		{"other incarnation", nil, protocol.Order{OrderID: "a", Fence: 9, ExpectedIncarnation: "incarnation-0", Kind: protocol.OrderRole, Role: RoleDecode}, protocol.RefusalMismatch},
		{"unknown role", nil, protocol.Order{OrderID: "a", Fence: 9, ExpectedIncarnation: "incarnation-1", Kind: protocol.OrderRole, Role: "x"}, protocol.RefusalBadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rig := newRig(nil)
			for _, earlier := range test.before {
				_, refusal := rig.engine.Order(rig.now, earlier)
				is.Equal(refusal, nil)
			}
			rig.run(time.Minute)
			recorded := len(rig.truth)
			_, refusal := rig.engine.Order(rig.now, test.order)
			if test.wanted != "" {
				is.True(refusal != nil)
				is.Equal(refusal.Kind, test.wanted)
			} else {
				is.Equal(refusal, nil)
			}
			rig.run(time.Minute)
			effect := test.wanted == "" && test.name != "retry"
			is.Equal(len(rig.truth) > recorded, effect) // a retry or refusal has no effect
		})
	}
}

func TestLoadTakesTimeAndUnloadDropsBlocks(t *testing.T) {
	is := is.New(t)
	rig := newRig(nil)
	prompt := longPrompt("p", 160)
	_, refusal := rig.engine.Order(rig.now, order("a", 1, protocol.OrderLoad, "3"))
	is.Equal(refusal, nil)
	rig.run(time.Second)
	_, refusal = rig.engine.Submit(rig.now, request("early", "t1", "3", prompt, 4))
	is.Equal(refusal.Kind, protocol.RefusalMismatch)
	rig.run(time.Second)
	rig.generate(is, request("r1", "t1", "3", prompt, 4))
	rig.generate(is, request("r2", "t1", "1", prompt, 4))
	_, refusal = rig.engine.Submit(rig.now, request("running", "t1", "3", longPrompt("q", 160), 60))
	is.Equal(refusal, nil)
	rig.run(20 * time.Millisecond)

	_, refusal = rig.engine.Order(rig.now, order("b", 1, protocol.OrderUnload, "3"))
	is.Equal(refusal, nil)
	rig.run(time.Minute)
	last := rig.truth[len(rig.truth)-1]
	is.Equal(last.Kind, truth.Finished) // an unload does not abort accepted work
	namespace := prefix.Namespace{Tenant: "t1", Model: "m", Version: "3"}
	is.Equal(rig.engine.CachedPrefixBlocks(namespace.Salt(), prefix.ChainOf(namespace.Salt(), prompt, 16)), 0)
	is.Equal(len(rig.engine.Snapshot(rig.now).Hashes), 10) // version 1 keeps its blocks
	is.Equal(rig.replay(), rig.engine.Snapshot(rig.now).Hashes)
	_, refusal = rig.engine.Submit(rig.now, request("late", "t1", "3", prompt, 4))
	is.Equal(refusal.Kind, protocol.RefusalMismatch)
}

func TestTransferKeepsNamespaces(t *testing.T) {
	is := is.New(t)
	source, target := newRig(nil), newRig(nil)
	prompt := longPrompt("p", 160)
	sent := request("r1", "t1", "1", prompt, 1)
	source.generate(is, sent)
	chain := prefix.ChainOf(sent.Salt, prompt, 16)
	content, count, refusal := source.engine.Export(source.now, protocol.TransferRequest{
		ExpectedIncarnation: "incarnation-1", Salt: sent.Salt, Hashes: chain,
	})
	is.Equal(refusal, nil)
	is.Equal(count, 10)
	other := prefix.Namespace{Tenant: "t2", Model: "m", Version: "1"}
	_, refusal = target.engine.Import(target.now, other.Salt(), content)
	is.True(refusal != nil)
	is.Equal(refusal.Kind, protocol.RefusalMismatch)
	result, refusal := target.engine.Import(target.now, sent.Salt, content)
	is.Equal(refusal, nil)
	is.Equal(result.Imported, 10)
	_, usage, _ := target.generate(is, sent)
	is.Equal(usage.CachedTokens, 159)
}

// TestSameSeedSameOutputs guards against nondeterministic outputs.
func TestSameSeedSameOutputs(t *testing.T) {
	is := is.New(t)
	history := func() string {
		rig := newRig(func(config *Config) {
			config.CacheBlocks, config.MaxRunning, config.EventLoss, config.TruthBlocks = 60, 4, 0.3, true
		})
		for index := range 60 {
			sent := request(fmt.Sprint(index), "t1", "1", longPrompt(fmt.Sprint(index%7), 100+index), 10+index%5)
			sent.Priority = index % 3
			rig.engine.Submit(rig.now, sent)
			rig.run(time.Duration(index%11) * 7 * time.Millisecond)
			if index == 30 {
				_, refusal := rig.engine.Order(rig.now, order("u", 1, protocol.OrderUnload, "1"))
				is.Equal(refusal, nil)
			}
		}
		rig.run(time.Minute)
		content, err := json.Marshal([]any{rig.events, rig.times, rig.cache, rig.truth})
		is.NoErr(err)
		return string(content)
	}
	first := history()
	is.True(len(first) > 10000)
	is.True(first == history())
}
