package dispatch

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// Whatever mix of events arrives, those accepted must have the sequence numbers
// 0, 1, 2, ... of one stream of the request, attempt and incarnation.
func TestSequencerAcceptsOneStreamInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequencer := NewSequencer("r", 1, "i")
		var accepted []protocol.StreamEvent
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			event := protocol.StreamEvent{
				Kind:        rapid.SampledFrom([]protocol.StreamEventKind{protocol.EventStart, protocol.EventChunk, protocol.EventChunk, protocol.EventEnd}).Draw(t, "kind"),
				RequestID:   rapid.SampledFrom([]ident.Request{"r", "r", "r", "x"}).Draw(t, "request"),
				Attempt:     rapid.SampledFrom([]ident.Attempt{1, 1, 1, 2}).Draw(t, "attempt"),
				Incarnation: rapid.SampledFrom([]ident.Incarnation{"i", "i", "i", "j", ""}).Draw(t, "incarnation"),
				Stream:      rapid.SampledFrom([]ident.Stream{"s", "s", "s", "z"}).Draw(t, "stream"),
				Sequence:    rapid.Uint64Range(0, 6).Draw(t, "sequence"),
			}
			if sequencer.Check(&event) == Accepted {
				accepted = append(accepted, event)
			}
		}
		for index, event := range accepted {
			first := accepted[0]
			if event.Sequence != uint64(index) || event.RequestID != "r" || event.Attempt != 1 || event.Incarnation != "i" || event.Stream != first.Stream {
				t.Fatalf("accepted %+v at index %d", event, index)
			}
			if event.Kind == protocol.EventEnd && index != len(accepted)-1 {
				t.Fatal("accepted an event after the end")
			}
		}
	})
}

func TestRunLedgerReportsNotRunOnlyIfEveryAttemptWasRefused(t *testing.T) {
	cases := []struct {
		name    string
		settled []fault.Ran
		open    int
		want    fault.Ran
	}{
		{"nothing sent", nil, 0, fault.RanNo},
		{"still open", nil, 1, fault.RanUnknown},
		{"refused", []fault.Ran{fault.RanNo}, 0, fault.RanNo},
		{"refused twice", []fault.Ran{fault.RanNo, fault.RanNo}, 0, fault.RanNo},
		{"refused, then open", []fault.Ran{fault.RanNo}, 1, fault.RanUnknown},
		{"lost", []fault.Ran{fault.RanUnknown}, 0, fault.RanUnknown},
		{"lost, then refused", []fault.Ran{fault.RanUnknown, fault.RanNo}, 0, fault.RanUnknown},
		{"ran, then refused", []fault.Ran{fault.RanYes, fault.RanNo}, 0, fault.RanYes},
		{"not reported", []fault.Ran{""}, 0, fault.RanUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ledger RunLedger
			for _, ran := range c.settled {
				ledger.RecordSent()
				ledger.RecordEnded(ran)
			}
			for range c.open {
				ledger.RecordSent()
			}
			is.Equal(ledger.Ran(), c.want)
		})
	}
}
