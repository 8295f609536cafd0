package directory

import "container/list"

// lru maps keys to values and evicts the least recently used key beyond its
// capacity.
type lru[K comparable, V any] struct {
	capacity int
	items    map[K]*list.Element
	order    *list.List
	evicted  uint64
}

type lruItem[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](capacity int) *lru[K, V] {
	return &lru[K, V]{capacity: capacity, items: make(map[K]*list.Element), order: list.New()}
}

func (l *lru[K, V]) get(key K) (value V, found bool) {
	element, found := l.items[key]
	if !found {
		return value, false
	}
	l.order.MoveToFront(element)
	return element.Value.(*lruItem[K, V]).value, true
}

func (l *lru[K, V]) put(key K, value V) {
	if element, found := l.items[key]; found {
		element.Value.(*lruItem[K, V]).value = value
		l.order.MoveToFront(element)
		return
	}
	l.items[key] = l.order.PushFront(&lruItem[K, V]{key, value})
	if len(l.items) > l.capacity {
		l.delete(l.order.Back().Value.(*lruItem[K, V]).key)
		l.evicted++
	}
}

func (l *lru[K, V]) delete(key K) {
	if element, found := l.items[key]; found {
		l.order.Remove(element)
		delete(l.items, key)
	}
}

// each visits the items, most recent first; visit may delete the item it is at.
func (l *lru[K, V]) each(visit func(key K, value V) (more bool)) {
	for element := l.order.Front(); element != nil; {
		next := element.Next()
		item := element.Value.(*lruItem[K, V])
		if !visit(item.key, item.value) {
			return
		}
		element = next
	}
}
