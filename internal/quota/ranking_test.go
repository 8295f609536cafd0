package quota

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answering plays hellos to the routers that answer, for a time.
func answering(ranking *Ranking, now time.Time, length time.Duration, revisions map[netip.AddrPort]uint64) time.Time {
	const step = 10 * time.Millisecond
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		for _, envelope := range ranking.Due(now) {
			if revision, up := revisions[envelope.To]; up {
				welcome := HelloAck{Number: envelope.Message.(Hello).Number, Revision: revision}
				ranking.Welcomed(now.Add(time.Millisecond), envelope.To, &welcome)
			}
		}
	}
	return now
}

func TestTheOldestRouterThatAnswersLeads(t *testing.T) {
	self := addrOf(100)
	tests := []struct {
		name string
		// up tells the revisions of the routers that answer, out of 12 that are older.
		up   map[int]uint64
		want netip.AddrPort
	}{
		{"none answers", nil, self},
		{"all that matter answer", map[int]uint64{0: 1, 1: 2, 2: 3, 3: 4}, addrOf(0)},
		{"the oldest are gone", map[int]uint64{5: 6, 9: 10}, addrOf(5)},
		{"the last is the only one", map[int]uint64{11: 12}, addrOf(11)},
		{"the oldest has restarted", map[int]uint64{0: 200, 1: 2}, addrOf(1)},
		{"the oldest has no row yet", map[int]uint64{0: 0, 1: 2}, addrOf(1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ranking := NewRanking(self)
			var older []netip.AddrPort
			for index := range 12 {
				older = append(older, addrOf(index))
			}
			ranking.Know(100, older)
			up := make(map[netip.AddrPort]uint64)
			for index, revision := range tt.up {
				up[addrOf(index)] = revision
			}
			answering(ranking, epoch, 3*time.Second, up)
			is.Equal(ranking.Leader(), tt.want)
		})
	}
}

func TestALeaderThatFallsSilentIsReplacedAndReturns(t *testing.T) {
	is := is.New(t)
	ranking := NewRanking(addrOf(100))
	ranking.Know(100, []netip.AddrPort{addrOf(0), addrOf(1)})
	both := map[netip.AddrPort]uint64{addrOf(0): 1, addrOf(1): 2}
	second := map[netip.AddrPort]uint64{addrOf(1): 2}
	now := answering(ranking, epoch, 2*time.Second, both)
	is.Equal(ranking.Leader(), addrOf(0))
	now = answering(ranking, now, 3*helloInterval, second)
	is.Equal(ranking.Leader(), addrOf(1))
	now = answering(ranking, now, 5*time.Second, second)
	now = answering(ranking, now, time.Second, both)
	is.Equal(ranking.Leader(), addrOf(1)) // one welcome is not enough
	answering(ranking, now, 3*time.Second, both)
	is.Equal(ranking.Leader(), addrOf(0))
	ranking.Missed(addrOf(0))
	is.Equal(ranking.Leader(), addrOf(1))
}

func TestAnAnswerIsAwaitedByTheUsualTimeToAWelcome(t *testing.T) {
	tests := []struct {
		trip, want time.Duration
	}{
		{time.Millisecond, leastPatience}, {20 * time.Millisecond, 80 * time.Millisecond}, {100 * time.Millisecond, mostPatience},
	}
	for _, tt := range tests {
		t.Run(tt.trip.String(), func(t *testing.T) {
			is := is.New(t)
			ranking := NewRanking(addrOf(100))
			ranking.Know(100, []netip.AddrPort{addrOf(0)})
			hello := ranking.Due(epoch)[0].Message.(Hello)
			ranking.Welcomed(epoch.Add(tt.trip), addrOf(0), &HelloAck{Number: hello.Number, Revision: 1})
			is.Equal(ranking.Patience(addrOf(0)), tt.want)
			is.Equal(ranking.Patience(addrOf(1)), leastPatience)
		})
	}
}
