package directory

import (
	"encoding/binary"
	"time"

	"github.com/fieldpond/fieldpond/internal/engine/protocol"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/internal/prefix"
)

// watchKey identifies one block of one engine incarnation.
type watchKey struct {
	engine      ident.Engine
	incarnation ident.Incarnation
	hash        prefix.Hash
}

// watchTarget is the shard to notify of a block's eviction, and the block's root.
type watchTarget struct {
	shard ident.Node
	root  prefix.Hash
}

// handleWatch registers a shard's watch and returns which blocks are held
// according to the engine's events, or nil if these are incomplete.
func (n *Node) handleWatch(from ident.Node, watch *Watch) *Notification {
	if !validHashes(watch.Hashes, hashBytes) {
		n.counters.Malformed++
		return nil
	}
	n.counters.Watches++
	notification := Notification{Engine: watch.Engine, Incarnation: watch.Incarnation}
	root := hashAt(watch.Hashes, 0)
	complete := true
	for index := range len(watch.Hashes) / hashBytes {
		hash := hashAt(watch.Hashes, index)
		held, known := n.holder.Holds(watch.Engine, watch.Incarnation, hash)
		complete = complete && known
		if known && !held {
			notification.addLost(root, hash)
			continue
		}
		n.watches.put(watchKey{watch.Engine, watch.Incarnation, hash}, watchTarget{from, root})
	}
	if !complete {
		return nil
	}
	notification.Checked = binary.BigEndian.AppendUint64(nil, uint64(root))
	return &notification
}

func (n *Notification) addLost(root, hash prefix.Hash) {
	n.Lost = binary.BigEndian.AppendUint64(n.Lost, uint64(root))
	n.Lost = binary.BigEndian.AppendUint64(n.Lost, uint64(hash))
}

// notifications collects one Notification for each shard, in order of first use.
type notifications struct {
	batch     *protocol.CacheEventBatch
	engine    ident.Engine
	envelopes []Envelope
}

func (n *notifications) forShard(shard ident.Node) *Notification {
	for _, envelope := range n.envelopes {
		if envelope.To == shard {
			return envelope.Message.Notification
		}
	}
	notification := &Notification{Engine: n.engine, Incarnation: n.batch.Incarnation}
	n.envelopes = append(n.envelopes, Envelope{To: shard, Message: Message{Notification: notification}})
	return notification
}

// ApplyEvents applies a batch of the event stream of an engine that this router
// owns and returns the notifications to the shards that watch its blocks.
func (n *Node) ApplyEvents(now time.Time, engine ident.Engine, batch protocol.CacheEventBatch) []Envelope {
	list := &notifications{batch: &batch, engine: engine}
	for _, event := range batch.Events {
		switch event.Kind {
		case protocol.CacheRemoved:
			for _, hash := range event.Hashes {
				n.notifyEvicted(list, watchKey{engine, batch.Incarnation, hash})
			}
		case protocol.CacheCleared:
			n.notifyCleared(list)
		}
	}
	return n.applyLocal(now, list.envelopes)
}

func (n *Node) notifyEvicted(list *notifications, key watchKey) {
	target, found := n.watches.get(key)
	if !found {
		return
	}
	n.counters.Evictions++
	list.forShard(target.shard).addLost(target.root, key.hash)
	n.watches.delete(key)
}

func (n *Node) notifyCleared(list *notifications) {
	n.watches.each(func(key watchKey, target watchTarget) bool {
		if key.engine == list.engine && key.incarnation == list.batch.Incarnation {
			list.forShard(target.shard).Cleared = true
			n.watches.delete(key)
		}
		return true
	})
}

// applyLocal applies the notifications to this node itself and returns the others.
func (n *Node) applyLocal(now time.Time, envelopes []Envelope) []Envelope {
	remote := envelopes[:0]
	for _, envelope := range envelopes {
		if envelope.To == n.view.Self {
			n.handleNotification(now, envelope.Message.Notification)
			continue
		}
		remote = append(remote, envelope)
	}
	return remote
}
