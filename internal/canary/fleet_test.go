package canary

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A router counts as promoted only if its permit remains valid until the verdict is stored.
func TestPromotedNeedsPermitForWrite(t *testing.T) {
	tests := []struct {
		name  string
		phase Phase
		left  time.Duration
		age   time.Duration
		want  bool
	}{
		{"covered", Promoting, minPermitLeft, 0, true},
		{"too short", Promoting, minPermitLeft - time.Millisecond, 0, false},
		{"too short since its report", Promoting, minPermitLeft + 100*time.Millisecond, 200 * time.Millisecond, false},
		{"observing", Observing, time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gate := &gateState{newest: &Report{Phase: tt.phase, PermitLeft: tt.left}, reportedAt: at(time.Second)}
			is.New(t).Equal(gate.promoted(at(time.Second+tt.age)), tt.want)
		})
	}
}

// A holder with reports of fewer than half of the routers is cut off itself.
func TestQuorumOfRouters(t *testing.T) {
	tests := []struct {
		name      string
		reporting int
		age       time.Duration
		want      bool
	}{
		{"none", 0, 0, false},
		{"fewer than half", 1, 0, false},
		{"half", 2, 0, true},
		{"half, long ago", 2, silentAfter, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(1)
			var addresses []netip.AddrPort
			for index := range byte(4) {
				addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, index + 1}), 7000))
			}
			f.setRouters(at(0), addresses)
			for index := range tt.reporting {
				f.applyReport(at(time.Second), addresses[index], &Report{Incarnation: uint64(index + 1), Clock: time.Second})
			}
			is.New(t).Equal(f.hasQuorum(at(time.Second+tt.age)), tt.want)
		})
	}
}
