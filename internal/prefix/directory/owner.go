package directory

import (
	"encoding/binary"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// watchKey names one block of one engine life.
type watchKey struct {
	engine      ident.Engine
	incarnation ident.Incarnation
	hash        prefix.Hash
}

// watcher is who is to be told of a block's eviction, and under which root.
type watcher struct {
	shard ident.Node
	root  prefix.Hash
}

// handleWatch registers a shard's interest and returns what the engine's
// events say of the blocks, or nil if they do not settle it.
func (n *Node) handleWatch(from ident.Node, watch *Watch) *Notification {
	if !wellFormed(watch.Hashes, hashBytes) {
		n.counters.Malformed++
		return nil
	}
	n.counters.Watches++
	notice := Notification{Engine: watch.Engine, Incarnation: watch.Incarnation}
	root := hashAt(watch.Hashes, 0)
	settled := true
	for index := range len(watch.Hashes) / hashBytes {
		hash := hashAt(watch.Hashes, index)
		held, known := n.holder.Holds(watch.Engine, watch.Incarnation, hash)
		settled = settled && known
		if known && !held {
			notice.lose(root, hash)
			continue
		}
		n.watches.put(watchKey{watch.Engine, watch.Incarnation, hash}, watcher{from, root})
	}
	if !settled {
		return nil
	}
	notice.Checked = binary.BigEndian.AppendUint64(nil, uint64(root))
	return &notice
}

func (m *Notification) lose(root, hash prefix.Hash) {
	m.Lost = binary.BigEndian.AppendUint64(m.Lost, uint64(root))
	m.Lost = binary.BigEndian.AppendUint64(m.Lost, uint64(hash))
}

// notices gathers one Notice for each shard, in the order of their first need.
type notices struct {
	batch     *protocol.CacheEventBatch
	engine    ident.Engine
	envelopes []Envelope
}

func (l *notices) to(shard ident.Node) *Notification {
	for _, envelope := range l.envelopes {
		if envelope.To == shard {
			return envelope.Message.Notification
		}
	}
	notice := &Notification{Engine: l.engine, Incarnation: l.batch.Incarnation}
	l.envelopes = append(l.envelopes, Envelope{To: shard, Message: Message{Notification: notice}})
	return notice
}

// ApplyEvents reads a batch of the event stream of an engine that this router owns
// and returns what the shards that watch its blocks have to know.
func (n *Node) ApplyEvents(now time.Time, engine ident.Engine, batch protocol.CacheEventBatch) []Envelope {
	list := &notices{batch: &batch, engine: engine}
	for _, event := range batch.Events {
		switch event.Kind {
		case protocol.CacheRemoved:
			for _, hash := range event.Hashes {
				n.evicted(list, watchKey{engine, batch.Incarnation, hash})
			}
		case protocol.CacheCleared:
			n.cleared(list)
		}
	}
	return n.deliverOwn(now, list.envelopes)
}

func (n *Node) evicted(list *notices, key watchKey) {
	watching, found := n.watches.get(key)
	if !found {
		return
	}
	n.counters.Evictions++
	list.to(watching.shard).lose(watching.root, key.hash)
	n.watches.delete(key)
}

func (n *Node) cleared(list *notices) {
	n.watches.each(func(key watchKey, watching watcher) bool {
		if key.engine == list.engine && key.incarnation == list.batch.Incarnation {
			list.to(watching.shard).Cleared = true
			n.watches.delete(key)
		}
		return true
	})
}

// deliverOwn takes notices to this node itself out of a list.
func (n *Node) deliverOwn(now time.Time, envelopes []Envelope) []Envelope {
	others := envelopes[:0]
	for _, envelope := range envelopes {
		if envelope.To == n.view.Self {
			n.handleNotice(now, envelope.Message.Notification)
			continue
		}
		others = append(others, envelope)
	}
	return others
}
