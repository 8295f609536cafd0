package detour

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/clock"
	"github.com/fieldpond/fieldpond/internal/exchange"
)

const (
	// borrowTimeout bounds the attempts to borrow a connection: another back end may have a free one.
	borrowTimeout = 150 * time.Millisecond
	// noLenderPause is the time after which others are asked again, once none had a connection to an
	// address to lend.
	noLenderPause = 60 * time.Millisecond
	// maxRefusedLoans is the number of such results in a second after which none is asked: then all
	// routers need what they have.
	maxRefusedLoans = 50
	// maxLenderPauses bounds the addresses for which a pause is remembered.
	maxLenderPauses = 4096
)

// errNoLender is returned when no router has a connection to lend.
var errNoLender = errors.New("no other router has a connection to spare")

// lenders remembers where no router had a connection to lend. It is not safe for concurrent use.
type lenders struct {
	// until are the ends of the pauses, by address.
	until map[string]time.Time
	// refused counts the results without a lender since windowAt.
	refused  int
	windowAt time.Time
}

// mayAsk reports whether routers may be asked for a connection to an address.
func (l *lenders) mayAsk(now time.Time, address string) bool {
	if now.Sub(l.windowAt) >= time.Second {
		l.refused, l.windowAt = 0, now
	}
	return l.refused < maxRefusedLoans && !now.Before(l.until[address])
}

// observeRefused records that no router had a connection to an address.
func (l *lenders) observeRefused(now time.Time, address string) {
	l.refused++
	if len(l.until) > maxLenderPauses {
		clear(l.until)
	}
	l.until[address] = now.Add(noLenderPause)
}

// Borrow implements exchange.Detour. Routers are asked one after the other.
func (d *Dialer) Borrow(ctx context.Context, address string) (exchange.Opened, error) {
	routers := d.routers.Load()
	if routers == nil || !d.mayBorrow(address) {
		return exchange.Opened{}, errNoLender
	}
	bounded, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for _, helper := range d.order(routers.Peers()) {
		opened, err := d.through(bounded, helper, methodLend, address)
		if err == nil {
			return opened, nil
		}
		if bounded.Err() != nil {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lenders.observeRefused(clock.Now(), address)
	return exchange.Opened{}, errNoLender
}

func (d *Dialer) mayBorrow(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lenders.mayAsk(clock.Now(), address)
}
