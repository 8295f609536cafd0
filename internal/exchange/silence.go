package exchange

import (
	"time"

	"github.com/apex/log"
)

// Silent returns how many connections were detected as silent so far.
func (p *Pool) Silent() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.silent
}

// recordSilent records that a connection has been silent since a time. It closes
// the idle connections to the same address that received nothing since. One that another
// router relays is evidence about that router, not about the address.
func (p *Pool) recordSilent(conn *connection, since time.Time) {
	if conn.through.IsValid() {
		p.options.Detour.ObserveSilent(conn.through)
		return
	}
	address := conn.address
	p.mutex.Lock()
	p.silent++
	p.silences.recordSilent(time.Now(), address, since)
	closed := 0
	if known := p.targets[address]; known != nil {
		closed = p.closeIdleBefore(known, since)
	}
	p.mutex.Unlock()
	log.WithFields(log.Fields{"address": address, "closed": closed}).Info("connection_silent")
}

// recordConnected counts a new connection. If it proves that an address with a
// silent connection is reachable, the idle connections to all addresses that
// received nothing since the silence are closed.
func (p *Pool) recordConnected(address string) {
	p.mutex.Lock()
	p.opened++
	since, suspectAll := p.silences.recordConnected(time.Now(), address)
	closed := 0
	if suspectAll {
		for _, known := range p.targets {
			closed += p.closeIdleBefore(known, since)
		}
	}
	p.mutex.Unlock()
	if suspectAll {
		log.WithFields(log.Fields{"closed": closed}).Warn("connections_suspected")
	}
}

// closeIdleBefore closes the idle connections that received nothing since a
// time, and returns their number; the caller holds the mutex.
func (p *Pool) closeIdleBefore(known *target, since time.Time) int {
	kept := known.idle[:0]
	for _, conn := range known.idle {
		if conn.idleSince.After(since) {
			kept = append(kept, conn)
			continue
		}
		_ = conn.Close()
	}
	closed := len(known.idle) - len(kept)
	known.idle = kept
	known.open -= closed
	return closed
}
