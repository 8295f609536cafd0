package affinity

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Result is the result of a search for the origin of a stream.
type Result interface{ result() }

type (
	// Found is a stream whose origin is known, for TTL.
	Found struct {
		Origin Origin
		TTL    time.Duration
	}
	// Conflicting are several streams of the same key with different origins.
	Conflicting struct{}
	// Unknown is a stream that no router knows. Complete is false if some did not answer, Several true if one of
	// the holders knows that the service has several releases.
	Unknown struct{ Complete, Several bool }
)

func (Found) result()       {}
func (Conflicting) result() {}
func (Unknown) result()     {}

const (
	// holdersTime is how long only the holders are asked, before all other routers are.
	holdersTime = 40 * time.Millisecond
	// askInterval is the time between two asks of a router that does not answer: datagrams are lost.
	askInterval = 40 * time.Millisecond
	// SearchTime bounds a search. It covers two round trips between regions.
	SearchTime = 300 * time.Millisecond
	// HoldersSearchTime bounds a search among the holders alone: they are asked twice.
	HoldersSearchTime = 80 * time.Millisecond
	// maxAsked bounds the routers that are asked in one search.
	maxAsked = 32
)

// peer is a router that may be asked.
type peer struct {
	addr     netip.AddrPort
	askedAt  time.Time
	answered bool
}

// Search is one search for the origin of a stream. It is not safe for concurrent use.
type Search struct {
	service   ident.Service
	startedAt time.Time
	holders   int
	peers     []peer
	quorum    bool
	// holdersOnly is whether no others are asked, several whether one of them knows of several releases.
	holdersOnly, several bool
	// routers is the number of routers that this one knows, itself included.
	routers int
	// prior is the release that all routers so far knew as the only one before; noPrior is set
	// once one of them does not agree, or if not all are asked.
	prior   ident.Release
	noPrior bool
	result  Result
}

// SearchConfig configures a Search.
type SearchConfig struct {
	Key     Key
	Service ident.Service
	// Routers are the other routers to ask; All is whether there are no more.
	Routers []netip.AddrPort
	All     bool
	// Prior is the only release of the service that this router knows, or knew until another one
	// appeared, if HasPrior is set. Streams without a record began at it if all routers agree;
	// Quorum is whether more than half of them suffice.
	Prior    ident.Release
	HasPrior bool
	Quorum   bool
	// HoldersOnly is whether only those routers are asked that keep the record if there is one. Then Prior
	// does not count, and Unknown is complete if one of them has answered. It is incomplete if there are none.
	HoldersOnly bool
}

// NewSearch returns a search that has asked no router yet.
func NewSearch(now time.Time, config SearchConfig) *Search {
	routers := slices.Clone(config.Routers)
	s := &Search{
		routers: len(routers) + 1, service: config.Service, startedAt: now, holders: len(Holders(config.Key, routers)), prior: config.Prior,
		noPrior: !config.HasPrior || !(config.Quorum || config.All && len(routers) <= maxAsked), quorum: config.Quorum,
	}
	if config.HoldersOnly {
		routers, s.holdersOnly, s.noPrior = routers[:s.holders], true, true
	}
	for _, addr := range routers[:min(len(routers), maxAsked)] {
		s.peers = append(s.peers, peer{addr: addr})
	}
	s.conclude()
	return s
}

// Due returns the routers to ask now, and counts them as asked.
func (s *Search) Due(now time.Time) []netip.AddrPort {
	asked := s.peers[:s.holders]
	if now.Sub(s.startedAt) >= holdersTime || allAnswered(asked) {
		asked = s.peers
	}
	var due []netip.AddrPort
	for index := range asked {
		known := &asked[index]
		if !known.answered && (known.askedAt.IsZero() || now.Sub(known.askedAt) >= askInterval) {
			known.askedAt = now
			due = append(due, known.addr)
		}
	}
	return due
}

// Answer records the answer of a router; those of routers that were not asked are ignored.
func (s *Search) Answer(from netip.AddrPort, answer *Answer) {
	index := slices.IndexFunc(s.peers, func(known peer) bool { return known.addr == from })
	if index < 0 || s.peers[index].askedAt.IsZero() || s.peers[index].answered || s.result != nil {
		return
	}
	s.peers[index].answered = true
	switch {
	case answer.Known && answer.Conflicting:
		s.result = Conflicting{}
	case answer.Known:
		s.result = Found{Origin: answer.Origin, TTL: answer.TTL}
	default:
		// One of the routers that this one does not know may have a record.
		s.noPrior = s.noPrior || !answer.HasPrior || answer.Prior != s.prior || answer.Routers > s.routers
		s.several = s.several || answer.Several
		s.conclude()
	}
}

// conclude sets the result once all routers have answered.
func (s *Search) conclude() {
	if !allAnswered(s.peers) {
		return
	}
	if s.holdersOnly {
		// A router that knows no others may just not know them yet.
		s.result = Unknown{Complete: len(s.peers) > 0, Several: s.several}
		return
	}
	if s.noPrior {
		s.result = Unknown{Complete: true}
		return
	}
	s.result = s.foundPrior()
}

func (s *Search) foundPrior() Result {
	return Found{Origin: Origin{Service: s.service, Release: s.prior}, TTL: MaxTTL}
}

// hasQuorum reports whether more than half of the routers have answered, this one included.
func (s *Search) hasQuorum() bool {
	answered := 1
	for _, known := range s.peers {
		if known.answered {
			answered++
		}
	}
	return 2*answered > len(s.peers)+1
}

// limit returns how long the search may take.
func (s *Search) limit() time.Duration {
	if s.holdersOnly {
		return HoldersSearchTime
	}
	return SearchTime
}

func anyAnswered(peers []peer) bool {
	return slices.ContainsFunc(peers, func(known peer) bool { return known.answered })
}

// Result returns the result of the search, nil while it goes on.
func (s *Search) Result(now time.Time) Result {
	if s.result == nil && now.Sub(s.startedAt) >= s.limit() {
		s.result = Unknown{Complete: s.holdersOnly && anyAnswered(s.peers), Several: s.holdersOnly && s.several}
		if s.quorum && !s.noPrior && s.hasQuorum() {
			s.result = s.foundPrior()
		}
	}
	return s.result
}

// Next returns when Due and Result are to be called again, without an answer.
func (s *Search) Next(now time.Time) time.Time {
	next := s.startedAt.Add(s.limit())
	for index := range s.peers {
		known := &s.peers[index]
		switch {
		case known.answered:
		case known.askedAt.IsZero():
			next = earlier(next, s.startedAt.Add(holdersTime))
		default:
			next = earlier(next, known.askedAt.Add(askInterval))
		}
	}
	if next.Before(now) {
		return now
	}
	return next
}

func allAnswered(peers []peer) bool {
	return !slices.ContainsFunc(peers, func(known peer) bool { return !known.answered })
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
