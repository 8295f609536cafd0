package inbound

import "time"

const (
	// headGrace is how long a head may arrive before its connection may be replaced by a new one, while there are
	// MaxConnections.
	headGrace = 100 * time.Millisecond
	// replaceInterval is the least time from a search for a connection to replace that found none until the next one.
	replaceInterval = 10 * time.Millisecond
)

// replaceClass is the order in which connections are replaced.
type replaceClass uint8

const (
	// replaceUnused is for connections that have not sent a whole head for long.
	replaceUnused replaceClass = iota
	// replaceIdle is for those that are idle.
	replaceIdle
	// replaceBody is for those on which a body arrives for long.
	replaceBody
	// replaceHead is for those on which a head has been arriving for headGrace.
	replaceHead
	// notReplaceable is for all others.
	notReplaceable
)

// replaceable returns the connection to close for a new one, or nil; the caller holds the mutex.
func (c *Clients) replaceable(now time.Time) (chosen *Conn) {
	if now.Sub(c.noneReplaceableAt) < replaceInterval {
		return nil
	}
	class, since := notReplaceable, time.Time{}
	for conn := range c.open {
		connClass, connSince := conn.replaceClass(now)
		if connClass < class || connClass == class && connSince.Before(since) {
			chosen, class, since = conn, connClass, connSince
		}
	}
	if class == notReplaceable {
		c.noneReplaceableAt = now
		return nil
	}
	return chosen
}

// replaceClass returns the class of a connection and since when it is in that; the caller holds the mutex.
func (c *Conn) replaceClass(now time.Time) (replaceClass, time.Time) {
	age := now.Sub(c.phaseSince)
	switch {
	case c.phase == phaseServing && !c.bodySince.IsZero() && now.Sub(c.bodySince) >= yieldAfter:
		return replaceBody, c.bodySince
	case c.phase == phaseServing:
		return notReplaceable, time.Time{}
	case age >= yieldAfter && (c.phase == phaseHeader || !c.served):
		return replaceUnused, c.phaseSince
	case c.phase == phaseIdle:
		return replaceIdle, c.phaseSince
	case age >= headGrace:
		return replaceHead, c.phaseSince
	default:
		return notReplaceable, time.Time{}
	}
}
