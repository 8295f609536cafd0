package node

import "context"

// Configurations implements Source. A store whose row changes is a lateStore.
func (s *fakeStore) Configurations(context.Context, uint64, uint64) ([]Reading, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return []Reading{s.reading}, nil
}

// Configurations implements Source.
func (r *zoneRouter) Configurations(ctx context.Context, after, until uint64) ([]Reading, error) {
	if err := r.countRead(); err != nil {
		return nil, err
	}
	return r.zone.store.Configurations(ctx, after, until)
}
