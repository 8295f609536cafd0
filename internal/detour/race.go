package detour

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// minProofs is the number of helpers that must find a back end down before the others are not asked:
// one of them may have lost its links as well, without knowing it yet.
const minProofs = 2

// result is the end of one attempt; helper is the zero value for the direct one.
type result struct {
	opened exchange.Opened
	helper netip.AddrPort
	err    error
}

// race is the attempts for one connection. The first that succeeds is used, the others are closed.
type race struct {
	dialer  *Dialer
	address string
	direct  exchange.DialFunc
	// peers are the routers that may help, helpers those left to ask. ordered is true once helpers
	// is set.
	peers   []Peer
	helpers []netip.AddrPort
	ordered bool
	results chan result

	running int
	// directErr is why the direct attempt failed, proof what a helper found out about the back end.
	directErr, proof error
	proofs           int
	// lastErr is the newest failure.
	lastErr error
}

func (r *race) run(ctx context.Context, plan Plan) (exchange.Opened, error) {
	if plan.Direct {
		r.running++
		// It goes on after a helper has won, since its end tells whether the link works.
		go r.dialDirect(context.WithoutCancel(ctx))
	}
	next := time.NewTimer(plan.HelpAfter)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			go r.closeRest(false)
			return exchange.Opened{}, context.Cause(ctx)
		case <-next.C:
			if r.askNext(ctx) {
				next.Reset(helperStagger)
			}
		case end := <-r.results:
			r.running--
			if end.err == nil {
				go r.closeRest(end.helper.IsValid())
				return end.opened, nil
			}
			r.observeFailure(end)
			if r.over() {
				go r.closeRest(false)
				return exchange.Opened{}, r.failure()
			}
			next.Reset(0)
		}
	}
}

func (r *race) dialDirect(ctx context.Context) {
	conn, err := r.dialer.DialDirect(ctx, r.address, r.direct)
	r.results <- result{opened: exchange.Opened{Conn: conn}, err: err}
}

// askNext asks the next helper, and reports whether there was one.
func (r *race) askNext(ctx context.Context) bool {
	if !r.ordered {
		r.helpers, r.ordered = r.dialer.order(r.peers), true
	}
	if len(r.helpers) == 0 {
		return false
	}
	helper := r.helpers[0]
	r.helpers = r.helpers[1:]
	r.running++
	go func() {
		opened, err := r.dialer.through(ctx, helper, http.MethodConnect, r.address)
		if err != nil && ctx.Err() == nil && !provesDown(err) {
			r.dialer.avoid(helper)
		}
		r.results <- result{opened: opened, helper: helper, err: err}
	}()
	return true
}

func (r *race) observeFailure(end result) {
	r.lastErr = end.err
	switch {
	case !end.helper.IsValid():
		r.directErr = end.err
	case provesDown(end.err):
		r.proofs++
		r.proof = end.err
	}
}

// over reports whether the race has failed: the back end is down, or nobody is left to ask.
func (r *race) over() bool {
	return r.proofs >= minProofs || r.running == 0 && r.ordered && len(r.helpers) == 0
}

// failure returns the error of the race. Only a proof of another router, or the lack of one to ask,
// leaves a refused connection as it is: otherwise it may be this router's link that refuses.
func (r *race) failure() error {
	switch {
	case r.proofs == 0:
		return errors.Errorf("no router reaches the back end: %v", r.lastErr)
	case r.directErr != nil:
		return r.directErr
	default:
		return errors.Wrap(r.proof, "connect through another router")
	}
}

// closeRest closes the connections of the attempts that still run, and records a lost link if a
// helper has won and the direct attempt fails.
func (r *race) closeRest(helped bool) {
	lost := helped && r.directErr != nil
	for range r.running {
		end := <-r.results
		switch {
		case end.err == nil:
			_ = end.opened.Conn.Close()
		case helped && !end.helper.IsValid():
			lost = true
		}
	}
	if lost {
		r.dialer.observeLost(r.address)
	}
}
