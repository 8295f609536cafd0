package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/backend"
	"github.com/fieldpond/fieldpond/internal/catalog"
	"github.com/fieldpond/fieldpond/internal/ident"
)

// follower keeps the configuration and the list of back ends up to date, by
// reading them again and again. A read counts from the moment it was asked
// for, so that neither a pause of the process nor a slow answer makes old news
// look new.
type follower struct {
	source   Source
	holder   *catalog.Holder
	backends *backend.Registry
	config   FollowConfig
	namings  *namings
	// lost is called each time a dependency is lost.
	lost func(name string)
	// revision is that of the configuration last decoded.
	revision uint64
	// looked is true after the first read of the configuration.
	looked bool
}

// FollowConfig fixes how often the store is read.
type FollowConfig struct {
	// ConfigurationInterval is the time between two reads of the configuration.
	ConfigurationInterval time.Duration
	// BackendInterval is the time between two reads of the back ends.
	BackendInterval time.Duration
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration
	// RetryPause is waited after a failed read.
	RetryPause time.Duration
}

// dependency logs when reads begin to fail and when they work again.
type dependency struct {
	name string
	// count is called each time the dependency is lost.
	count func(name string)
	lost  bool
	// lostAt is when the first read in a row failed.
	lostAt time.Time
}

func (d *dependency) saw(err error) {
	switch {
	case err != nil && !d.lost:
		d.lost, d.lostAt = true, time.Now()
		d.count(d.name)
		log.WithFields(log.Fields{"dependency": d.name, "cause": err.Error()}).Warn("dependency_lost")
	case err == nil && d.lost:
		d.lost = false
		log.WithFields(log.Fields{"dependency": d.name, "lost_ms": time.Since(d.lostAt).Milliseconds()}).Info("dependency_regained")
	}
}

// followConfiguration is the duty that reads the configuration until ctx ends.
func (f *follower) followConfiguration(ctx context.Context) {
	seen := &dependency{name: "configuration", count: f.lost}
	repeat(ctx, f.config.ConfigurationInterval, f.config.RetryPause, func() error {
		err := f.readConfiguration(ctx)
		if ctx.Err() == nil {
			seen.saw(err)
		}
		return err
	})
}

func (f *follower) readConfiguration(ctx context.Context) error {
	askedAt := time.Now()
	bounded, cancel := context.WithTimeout(ctx, f.config.ReadTimeout)
	defer cancel()
	reading, err := f.source.Configuration(bounded)
	if err != nil {
		return err
	}
	f.readNamings(ctx, askedAt, &reading)
	if reading.Revision == 0 {
		return nil
	}
	snapshot := f.holder.View().Snapshot
	if reading.Revision != f.revision {
		snapshot, err = f.source.Decode(reading.Body)
		if err != nil {
			return err
		}
		f.revision = reading.Revision
	}
	if f.holder.Adopt(snapshot, askedAt) {
		log.WithFields(log.Fields{
			"version": snapshot.Version, "routes": snapshot.RouteCount(), "revision": reading.Revision,
			"read_ms": time.Since(askedAt).Milliseconds(),
		}).Info("configuration_adopted")
	}
	return nil
}

// readNamings takes in the versions of weights that are named. One that is
// there at the first look may have been named long before.
func (f *follower) readNamings(ctx context.Context, askedAt time.Time, reading *Reading) {
	for model, version := range reading.Models {
		if !f.looked {
			f.recallNamings(ctx, askedAt, reading.StoreTime, model)
		}
		naming := catalog.Naming{Version: version, SeenAt: time.Now(), Met: !f.looked}
		if !f.holder.Named(model, naming) {
			continue
		}
		log.WithFields(log.Fields{"model": model, "version": version, "met": naming.Met}).Info("version_named")
		if f.looked {
			go f.namings.keep(ctx, model, version, reading.StoreTime)
		}
	}
	f.looked = true
}

// recallNamings takes in what other routers kept of the versions of a model.
func (f *follower) recallNamings(ctx context.Context, askedAt time.Time, storeTime time.Duration, model ident.Model) {
	kept, err := f.namings.find(ctx, model, storeTime, askedAt)
	if err != nil {
		log.WithFields(log.Fields{"model": model, "cause": err.Error()}).Warn("namings_not_found")
		return
	}
	for _, naming := range kept {
		if f.holder.Named(model, naming) {
			log.WithFields(log.Fields{
				"model": model, "version": naming.Version, "age_ms": time.Since(naming.SeenAt).Milliseconds(),
			}).Info("version_recalled")
		}
	}
}

// followBackends is the duty that reads the list of back ends until ctx ends.
func (f *follower) followBackends(ctx context.Context) {
	seen := &dependency{name: "backends", count: f.lost}
	repeat(ctx, f.config.BackendInterval, f.config.RetryPause, func() error {
		askedAt := time.Now()
		bounded, cancel := context.WithTimeout(ctx, f.config.ReadTimeout)
		defer cancel()
		records, err := f.source.Backends(bounded)
		if ctx.Err() == nil {
			seen.saw(err)
		}
		if err != nil {
			return err
		}
		for _, change := range f.backends.Update(askedAt, records) {
			log.WithFields(log.Fields{
				"instance": change.Record.Instance, "service": change.Record.Service, "address": change.Record.Address,
				"change": change.Kind, "revision": change.Record.Revision, "models": change.Record.Models,
			}).Info("backend_changed")
		}
		return nil
	})
}

// repeat calls work until ctx ends: an interval after the begin of the last
// call, or a pause after one that failed.
func repeat(ctx context.Context, interval, retryPause time.Duration, work func() error) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		begun := time.Now()
		wait := interval
		if work() != nil {
			wait = retryPause
		} else {
			wait -= time.Since(begun)
		}
		timer.Reset(max(wait, time.Millisecond))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}
