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

// lookupTimeout is how long a job waits for the directory's answer. A round
// trip within a zone takes a fraction of it; waiting longer would cost more
// than the recomputation of a short prefix.
const lookupTimeout = 10 * time.Millisecond

// directoryTickInterval is the time between two ticks of the directory.
const directoryTickInterval = 500 * time.Millisecond

// parkedJob is a job that waits for the directory's answer.
type parkedJob struct {
	job   *Job
	root  prefix.Hash
	until time.Time
}

// lookUp asks the directory who holds the job's prefix. It reports whether the
// job has to wait for the answer.
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

// preferredChain returns the chain under the version that is preferred.
func preferredChain(request *framework.Request) prefix.Chain {
	if len(request.Versions) == 0 {
		return nil
	}
	return request.Chains[request.Versions[0]]
}

// park makes a job wait for the directory's answer.
func (c *Core) park(now time.Time, job *Job) {
	root, _ := preferredChain(&job.Request).Root()
	c.parked = append(c.parked, parkedJob{job: job, root: root, until: now.Add(lookupTimeout)})
	c.Counters.Parked++
}

// unpark offers the parked jobs that are ready to the queue.
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

// HandleDirectoryMessage takes in a message of another router's directory.
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

// SetView takes in which routers there are.
func (c *Core) SetView(view membership.View) {
	if c.config.Directory != nil {
		c.config.Directory.SetView(view)
	}
}

// tickDirectory sends what the directory has to say and ends waits for it.
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

// nextUnpark returns when the first wait for the directory ends.
func (c *Core) nextUnpark() (time.Time, bool) {
	if len(c.parked) == 0 {
		return time.Time{}, false
	}
	return c.parked[0].until, true
}

// notifyDirectory passes on changes of engines.
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
		// Neither moves a block: versions are part of the block hashes.
	}
}
