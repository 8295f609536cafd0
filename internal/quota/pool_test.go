package quota

import (
	"fmt"
	"math"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testLimit = Limit{Rate: 1000, Burst: 2000}

// testBounds leave a spare of 1000: 400 are granted evenly over the window, 100 are start
// credits, 150 are overdraft.
var testBounds = Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 0}

func addrOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 7000)
}

// poolOf returns a pool with a number of members out of routers.
func poolOf(now time.Time, members, routers int, credit bool) *Pool {
	pool := NewPool(testBounds)
	for index := range members {
		pool.Join(now, addrOf(index), credit, routers)
	}
	return pool
}

// keepMembers refreshes the members for a time.
func keepMembers(pool *Pool, now time.Time, length time.Duration, members, routers int) time.Time {
	for end := now.Add(length); now.Before(end); {
		now = now.Add(helloInterval)
		for index := range members {
			pool.Join(now, addrOf(index), false, routers)
		}
	}
	return now
}

// lastRequestID is the last request ID of grantedUnits.
var lastRequestID atomic.Uint64

// grantedUnits requests single units until one is denied, and returns the number granted.
func grantedUnits(pool *Pool, now time.Time, limit Limit, version uint64, routers int) int {
	for count := 0; ; count++ {
		request := AcquireRequest{ID: 1000 + lastRequestID.Add(1), Reservation: Reservation{Subject: "t", Limit: limit, Version: version, Amount: 1}}
		if !pool.Acquire(now, addrOf(0), &request, routers).Granted {
			return count
		}
	}
}

func TestPoolGrantsShareOfMembers(t *testing.T) {
	tests := []struct {
		members, routers int
		credit           bool
		filled           time.Duration
		want             int
	}{
		{members: 4, routers: 4, filled: 0, want: 0},
		{members: 4, routers: 4, filled: 900 * time.Millisecond, want: 945},
		{members: 4, routers: 4, filled: time.Minute, want: 2000},
		{members: 2, routers: 4, filled: 900 * time.Millisecond, want: 472},
		{members: 2, routers: 4, filled: time.Minute, want: 1000},
		{members: 4, routers: 4, credit: true, filled: 0, want: 100},
		{members: 1, routers: 4, credit: true, filled: 0, want: 25},
		{members: 4, routers: 2, filled: 900 * time.Millisecond, want: 945}, // a count that is too low grants no more
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			is := is.New(t)
			now := epoch
			pool := poolOf(now, tt.members, tt.routers, tt.credit)
			now = keepMembers(pool, now, tt.filled, tt.members, tt.routers)
			is.Equal(grantedUnits(pool, now, testLimit, 1, tt.routers), tt.want)
		})
	}
}

// Routers that leave and join repeatedly must not fill a bucket beyond its bounds.
func TestStartCreditsAreBounded(t *testing.T) {
	tests := []struct {
		name  string
		known bool
		want  int
	}{
		{"a tenant that is known", true, 1600},
		{"a new tenant", false, 25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := epoch
			pool := poolOf(now, 4, 4, false)
			if tt.known {
				is.Equal(grantedUnits(pool, now, testLimit, 1, 4), 0)
			}
			for range 100 {
				pool.Leave(now, addrOf(1), 4)
				pool.Join(now, addrOf(1), true, 4)
			}
			is.Equal(grantedUnits(pool, now, testLimit, 1, 4), tt.want)
		})
	}
}

// The next leader of the lost members grants their share, so the pool must give it up.
func TestPoolShrinksWithMembers(t *testing.T) {
	tests := []struct{ left, want int }{{4, 2000}, {2, 1050}, {1, 525}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.left), func(t *testing.T) {
			is := is.New(t)
			pool := poolOf(epoch, 4, 4, false)
			is.Equal(grantedUnits(pool, epoch, testLimit, 1, 4), 0)
			now := keepMembers(pool, epoch, time.Minute, 4, 4)
			for index := tt.left; index < 4; index++ {
				pool.Leave(now, addrOf(index), 4)
			}
			is.Equal(grantedUnits(pool, now, testLimit, 1, 4), tt.want)
		})
	}
}

func TestPausedLeaderDoesNotRefillBuckets(t *testing.T) {
	is := is.New(t)
	pool := poolOf(epoch, 4, 4, false)
	now := epoch.Add(time.Minute)
	most := int(testBounds.rate(testLimit) * memberTimeout.Seconds())
	is.True(grantedUnits(pool, now, testLimit, 1, 4) <= most)
	is.Equal(pool.Members(), 1) // the requester
}

func TestReleaseCountsOnce(t *testing.T) {
	is := is.New(t)
	now := epoch
	pool := poolOf(now, 4, 4, false)
	now = keepMembers(pool, now, time.Second, 4, 4)
	request := AcquireRequest{ID: 1, Reservation: Reservation{Subject: "t", Limit: testLimit, Amount: 1000}}
	is.True(pool.Acquire(now, addrOf(0), &request, 4).Granted)
	is.True(pool.Acquire(now, addrOf(0), &request, 4).Granted) // a retry
	is.Equal(grantedUnits(pool, now, testLimit, 0, 4), 102)
	for range 3 {
		pool.Release(addrOf(0), 1)
		pool.Release(addrOf(1), 1) // never granted
	}
	is.Equal(grantedUnits(pool, now.Add(time.Nanosecond), testLimit, 0, 4), 1000)
}

func TestOnlyNewerLimitIsApplied(t *testing.T) {
	is := is.New(t)
	now := epoch
	pool := poolOf(now, 4, 4, false)
	now = keepMembers(pool, now, time.Minute, 4, 4)
	request := AcquireRequest{ID: 1, Reservation: Reservation{Subject: "t", Limit: testLimit, Version: 1, Amount: 1}}
	is.True(pool.Acquire(now, addrOf(0), &request, 4).Granted)
	lower := Limit{Rate: 100, Burst: 200}
	is.Equal(grantedUnits(pool, now, lower, 2, 4), 200)
	now = keepMembers(pool, now, time.Minute, 4, 4)
	is.Equal(grantedUnits(pool, now, testLimit, 1, 4), 200)
}

func TestInvalidReservationIsDenied(t *testing.T) {
	tests := []Reservation{
		{Limit: testLimit, Amount: -1}, {Limit: testLimit, Amount: math.NaN()}, {Limit: testLimit, Amount: math.Inf(1)},
		{Limit: Limit{Rate: math.NaN(), Burst: 1}, Amount: 1}, {Limit: Limit{Rate: math.Inf(1)}, Amount: 1},
		{Limit: Limit{Rate: 1, Burst: math.Inf(1)}, Amount: 1}, {Amount: 1},
	}
	for _, reservation := range tests {
		t.Run(fmt.Sprint(reservation), func(t *testing.T) {
			is := is.New(t)
			pool := poolOf(epoch, 1, 1, false)
			now := keepMembers(pool, epoch, time.Minute, 1, 1)
			is.Equal(pool.Acquire(now, addrOf(0), &AcquireRequest{ID: 1, Reservation: reservation}, 1), AcquireResponse{ID: 1, RetryAfter: maxRetryAfter})
			is.Equal(len(pool.buckets), 0)
		})
	}
}

func TestLargeReservations(t *testing.T) {
	tests := []struct {
		name    string
		amount  float64
		filled  time.Duration
		granted bool
		after   time.Duration
	}{
		{"a part of the bucket", 500, time.Second, true, 0},
		{"lacks a half", 1500, 900 * time.Millisecond, false, 529 * time.Millisecond},
		{"larger than the bucket, which is full", 2140, time.Minute, true, 0},
		{"larger than the bucket, which is not full", 2140, 900 * time.Millisecond, false, 1005 * time.Millisecond},
		{"larger than may ever be granted", 2160, time.Minute, false, maxRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := poolOf(epoch, 4, 4, false)
			now := keepMembers(pool, epoch, tt.filled, 4, 4)
			request := AcquireRequest{ID: 1, Reservation: Reservation{Subject: "t", Limit: testLimit, Amount: tt.amount}}
			response := pool.Acquire(now, addrOf(0), &request, 4)
			is.Equal(response.Granted, tt.granted)
			is.Equal(response.RetryAfter.Round(time.Millisecond), tt.after)
		})
	}
}
