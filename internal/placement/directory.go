package placement

import (
	"time"

	"github.com/fieldpond/fieldpond/internal/endpoint"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/membership"
	"github.com/fieldpond/fieldpond/internal/prefix"
	"github.com/fieldpond/fieldpond/internal/prefix/directory"
	"github.com/fieldpond/fieldpond/internal/routing/framework"
)

// lookupTimeout is how long a job waits for the directory's answer: longer than
// a round trip within a zone, shorter than recomputing a short prefix.
const lookupTimeout = 10 * time.Millisecond

const directoryTickInterval = 500 * time.Millisecond

// parkedJob is a job that waits for the directory's answer.
type parkedJob struct {
	job   *Job
	root  prefix.Hash
	until time.Time
}

// lookUp asks the directory which engines hold the job's prefix and reports
// whether the job has to wait for the answer.
func (c *Core) lookUp(now time.Time, job *Job) (wait bool) {
	chain := preferredChain(&job.Request)
	result := c.directory.Lookup(now, chain)
	if result.Request != nil {
		c.effects.Messages = append(c.effects.Messages, *result.Request)
	}
	for _, holder := range result.Holders {
		incarnation := c.registry.Incarnation(holder.Engine)
		if incarnation != "" && directory.IncarnationDigest(incarnation) == holder.IncarnationDigest {
			c.config.Beliefs.RecordDirectoryAnswer(now, holder.Engine, incarnation, chain, holder.Blocks)
		}
	}
	return !result.Known
}

// preferredChain returns the chain under the preferred version, or nil.
func preferredChain(request *framework.Request) prefix.Chain {
	if len(request.Versions) == 0 {
		return nil
	}
	return request.Chains[request.Versions[0]]
}

// park makes a job wait for the directory's answer, at most lookupTimeout.
func (c *Core) park(now time.Time, job *Job) {
	root, _ := preferredChain(&job.Request).Root()
	c.parked = append(c.parked, parkedJob{job: job, root: root, until: now.Add(lookupTimeout)})
	c.Counters.Parked++
}

// unpark enqueues the parked jobs that are ready.
func (c *Core) unpark(now time.Time, ready func(parkedJob) bool) {
	waiting := c.parked
	c.parked = c.parked[:0:0]
	for _, parked := range waiting {
		if ready(parked) {
			c.enqueue(now, parked.job)
			continue
		}
		c.parked = append(c.parked, parked)
	}
}

// HandleDirectoryMessage applies a message of another router's directory.
func (c *Core) HandleDirectoryMessage(now time.Time, from ident.Node, message directory.Message) Effects {
	if c.directory == nil {
		return Effects{}
	}
	replies := c.directory.Handle(now, from, message)
	c.effects.Messages = append(c.effects.Messages, replies...)
	if message.Answer != nil {
		c.unpark(now, func(parked parkedJob) bool {
			if parked.root != message.Answer.Root {
				return false
			}
			c.lookUp(now, parked.job)
			return true
		})
	}
	return c.dispatchWaiting(now)
}

// SetView sets the membership view of the directory.
func (c *Core) SetView(view membership.View) {
	if c.config.Directory != nil {
		c.config.Directory.SetView(view)
	}
}

// tickDirectory sends the directory's due messages and ends expired waits.
func (c *Core) tickDirectory(now time.Time) {
	if c.directory == nil {
		return
	}
	if now.Sub(c.directoryTicked) >= directoryTickInterval {
		c.directoryTicked = now
		c.effects.Messages = append(c.effects.Messages, c.directory.Tick(now)...)
	}
	c.unpark(now, func(parked parkedJob) bool { return !now.Before(parked.until) })
}

// nextUnpark returns when the first parked job's wait ends, if any.
func (c *Core) nextUnpark() (time.Time, bool) {
	if len(c.parked) == 0 {
		return time.Time{}, false
	}
	return c.parked[0].until, true
}

// notifyDirectory reports a change of an engine to the directory.
func (c *Core) notifyDirectory(change endpoint.Change) {
	if c.config.Directory == nil {
		return
	}
	switch change.Kind {
	case endpoint.ChangeIncarnation, endpoint.ChangeRevived:
		c.config.Directory.SetIncarnation(change.Engine, change.Incarnation)
	case endpoint.ChangeDead:
		c.config.Directory.SetIncarnation(change.Engine, "")
	case endpoint.ChangeRemoved:
		c.config.Directory.Remove(change.Engine)
	case endpoint.ChangeDraining, endpoint.ChangeLoaded:
		// Neither invalidates blocks: versions are part of the block hashes.
	}
}
