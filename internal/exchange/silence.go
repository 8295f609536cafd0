package exchange

import (
	"time"

	"github.com/apex/log"
)

// Silent returns how many connections were found silent so far.
func (p *Pool) Silent() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.silent
}

// foundSilent takes in that a connection has been silent since a time. The resting
// ones to the same address that were not heard since are closed.
func (p *Pool) foundSilent(address string, since time.Time) {
	p.mutex.Lock()
	p.silent++
	p.suspects.silent(time.Now(), address, since)
	closed := 0
	if known := p.targets[address]; known != nil {
		closed = p.closeUnheard(known, since)
	}
	p.mutex.Unlock()
	log.WithFields(log.Fields{"address": address, "closed": closed}).Info("connection_silent")
}

// connected counts a new connection. If it shows that an address lives to which a
// connection fell silent, all resting ones of that time are closed, to whatever
// address.
func (p *Pool) connected(address string) {
	p.mutex.Lock()
	p.opened++
	since, all := p.suspects.opened(time.Now(), address)
	closed := 0
	if all {
		for _, known := range p.targets {
			closed += p.closeUnheard(known, since)
		}
	}
	p.mutex.Unlock()
	if all {
		log.WithFields(log.Fields{"closed": closed}).Warn("connections_suspected")
	}
}

// closeUnheard closes the resting connections whose peer was not heard since a
// time, and returns how many there were; the caller holds the mutex.
func (p *Pool) closeUnheard(known *target, since time.Time) int {
	kept := known.idle[:0]
	for _, resting := range known.idle {
		if resting.idleSince.After(since) {
			kept = append(kept, resting)
			continue
		}
		_ = resting.Close()
	}
	closed := len(known.idle) - len(kept)
	known.idle = kept
	known.open -= closed
	return closed
}
