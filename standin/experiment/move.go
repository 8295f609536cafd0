package experiment

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/engine/model"
)

// move exports the attempt's cached blocks from one engine, imports them into its
// own, as the router's placer does, and calls then at the end. A failed move only
// costs a recomputation.
func (a *attempt) move(source *engineNode, incarnation ident.Incarnation, then func()) {
	s := a.exchange.simulation
	perBlock := model.DefaultConfig().TransferPerBlock
	toSource, toTarget := s.hop(a.router.zone, source.zone), s.hop(a.router.zone, a.engine.zone)
	s.clock.after(toSource, func() {
		content, blocks, refusal := source.model.Export(s.clock.now, protocol.TransferRequest{
			Salt: a.exchange.salt, Hashes: a.chain, ExpectedIncarnation: incarnation,
		})
		source.drainOutputs()
		if refusal != nil || blocks == 0 {
			s.clock.after(toSource, then)
			return
		}
		transferTime := time.Duration(blocks) * perBlock
		s.clock.after(transferTime+toSource+toTarget+transferTime, func() {
			if a.engine.model.Alive() && a.engine.model.Incarnation() == a.incarnation {
				_, _ = a.engine.model.Import(s.clock.now, a.exchange.salt, content)
				a.engine.drainOutputs()
			}
			s.clock.after(toTarget, then)
		})
	})
}
