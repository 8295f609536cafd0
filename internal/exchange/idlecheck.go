package exchange

import (
	"slices"
	"time"
)

// idleCheckDelays are the times between the checks of an idle connection, from the end of its last exchange on.
// Bytes in excess usually follow an answer soon; what arrives later is bounded by the receive buffer.
var idleCheckDelays = [...]time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second}

// maxIdleChecks bounds the checks made at a time, each of which is a system call.
const maxIdleChecks = 64

// idleCheck is a check of a connection after it became idle for the count-th time.
type idleCheck struct {
	conn  *connection
	count int
	at    time.Time
}

// idleChecks are the checks to come, for each delay in the order of their times. A connection has one at most.
type idleChecks struct {
	queues [len(idleCheckDelays)][]idleCheck
	// timer runs until timerAt, which is the zero time while it does not run.
	timer   *time.Timer
	timerAt time.Time
}

// add adds a check after the delay of a queue.
func (c *idleChecks) add(queue int, conn *connection, now time.Time) {
	conn.checkPending = true
	c.queues[queue] = append(c.queues[queue], idleCheck{conn: conn, count: conn.idleCount, at: now.Add(idleCheckDelays[queue])})
}

// due removes the checks that are due, at most maxIdleChecks, and returns them by their queue.
func (c *idleChecks) due(now time.Time) (due [len(idleCheckDelays)][]idleCheck) {
	left := maxIdleChecks
	for queue, checks := range c.queues {
		count := 0
		for count < len(checks) && left > 0 && !checks[count].at.After(now) {
			count++
			left--
		}
		due[queue] = checks[:count]
		c.queues[queue] = checks[count:]
	}
	return due
}

// next returns the time of the earliest check, false if there is none.
func (c *idleChecks) next() (at time.Time, found bool) {
	for _, checks := range c.queues {
		if len(checks) > 0 && (!found || checks[0].at.Before(at)) {
			at, found = checks[0].at, true
		}
	}
	return at, found
}

// scheduleIdleCheck has a connection checked that has become idle; the caller holds the mutex.
func (p *Pool) scheduleIdleCheck(conn *connection) {
	conn.idleCount++
	if !conn.checkPending {
		p.checks.add(0, conn, conn.idleSince)
		p.armIdleChecks(conn.idleSince)
	}
}

// armIdleChecks starts the timer for the next check, or makes it end earlier; the caller holds the mutex.
func (p *Pool) armIdleChecks(now time.Time) {
	at, found := p.checks.next()
	if !found {
		return
	}
	// Checks that are due shortly after each other are made together.
	if earliest := now.Add(idleCheckDelays[0]); at.Before(earliest) {
		at = earliest
	}
	if !p.checks.timerAt.IsZero() && !at.Before(p.checks.timerAt) {
		return
	}
	p.checks.timerAt = at
	if p.checks.timer == nil {
		p.checks.timer = time.AfterFunc(at.Sub(now), p.checkIdle)
		return
	}
	p.checks.timer.Reset(at.Sub(now))
}

// checkIdle makes the checks that are due.
func (p *Pool) checkIdle() {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.checks.timerAt = time.Time{}
	for queue, checks := range p.checks.due(now) {
		for _, due := range checks {
			p.check(due, queue, now)
		}
	}
	p.armIdleChecks(now)
}

// check makes a check of a queue. It closes a connection that was closed by its peer, or received something since
// its last exchange: that belongs to no request, and what is not read stays in the kernel. The caller holds the
// mutex.
func (p *Pool) check(due idleCheck, queue int, now time.Time) {
	conn := due.conn
	conn.checkPending = false
	known := p.targets[conn.address]
	if known == nil {
		return
	}
	index := slices.Index(known.idle, conn)
	if index < 0 {
		return
	}
	switch state := conn.checkIdle(); {
	case state == idleSilent:
		// Its next use finds that, and finds out whether others are silent as well.
		conn.foundSilent = true
	case state == idleClosed:
		p.observeIdleLocked(conn, state)
		_ = conn.Close()
		known.idle = slices.Delete(known.idle, index, index+1)
		p.releaseLocked(conn.address)
	case conn.idleCount != due.count:
		p.checks.add(0, conn, now)
	case queue+1 < len(idleCheckDelays):
		p.checks.add(queue+1, conn, now)
	}
}
