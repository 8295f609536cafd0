package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fieldpond/fieldpond/internal/ident"
)

const (
	// bucketCount is the number of buckets into which members are hashed for a sync, and
	// bucketBytes the size of a bucket's digest.
	bucketCount = 64
	bucketBytes = 4
	// syncBurst and syncPerSecond bound the bytes of records sent by syncs.
	syncBurst     = 48 << 10
	syncPerSecond = 1000
	// joinContacts is the number of seeds that a joining router contacts at a time.
	joinContacts = 3
)

// syncing is the state of anti-entropy, which repairs what gossip missed.
type syncing struct {
	next          time.Time
	interval      time.Duration
	nextReconnect time.Time
	tokens        float64
}

// syncRound starts the exchanges that are due.
func (m *Machine) syncRound() {
	if !m.now.Before(m.syncing.next) {
		if partners := m.sample(1, ""); len(partners) == 1 {
			m.startSync(partners[0].GossipAddress)
		}
		// A new router syncs more often; jitter spreads routers that start at once.
		m.syncing.interval = min(2*m.syncing.interval, m.timing.SyncPeriod)
		m.syncing.next = m.now.Add(m.jittered(m.syncing.interval))
	}
	if !m.now.Before(m.syncing.nextReconnect) {
		m.reconnect()
	}
}

func (m *Machine) jittered(interval time.Duration) time.Duration {
	return interval*3/4 + time.Duration(m.random.Int63n(int64(interval)/2+1))
}

// reconnect contacts seeds and members that are not alive, so that partitioned regions merge
// again.
func (m *Machine) reconnect() {
	reached := map[string]bool{}
	alone := true
	var unreachable []string
	for _, each := range m.records {
		switch {
		case each.State != Dead:
			reached[each.GossipAddress] = true
			alone = alone && each == m.self
		default:
			unreachable = append(unreachable, each.GossipAddress)
		}
	}
	for _, seed := range m.seeds {
		if !reached[seed] && !slices.Contains(unreachable, seed) {
			unreachable = append(unreachable, seed)
		}
	}
	m.random.Shuffle(len(unreachable), func(i, j int) { unreachable[i], unreachable[j] = unreachable[j], unreachable[i] })
	contacts, wait := 1, m.jittered(m.timing.ReconnectPeriod)
	if alone || m.joining() {
		contacts, wait = joinContacts, m.jittered(m.timing.ProbePeriod)
	}
	for _, address := range unreachable[:min(contacts, len(unreachable))] {
		m.startSync(address)
	}
	m.syncing.nextReconnect = m.now.Add(wait)
}

func (m *Machine) startSync(address string) {
	salt := m.random.Uint64()
	m.send(address, Message{
		Kind: KindSync, Salt: salt, Buckets: m.digests(salt),
		Rumours: []Rumour{Rumour(m.self.Member)}, Head: m.currentHead(),
	})
}

func (m *Machine) currentHead() *FleetHead {
	return m.headFor(&Message{})
}

// answerSync sends the records of the buckets that differ, and the own digests if the other
// side does not have them yet.
func (m *Machine) answerSync(source string, message *Message) {
	digests := m.digests(message.Salt)
	var differing [bucketCount]bool
	equal := true
	for i := range bucketCount {
		from, to := i*bucketBytes, (i+1)*bucketBytes
		differing[i] = string(digests[from:to]) != string(message.Buckets[from:to])
		equal = equal && !differing[i]
	}
	if message.Kind == KindSync && (!equal || message.Joining) {
		m.send(source, Message{
			Kind: KindSyncAnswer, Salt: message.Salt, Buckets: digests, Head: m.headFor(message),
			Rumours: append(m.accusations(message), Rumour(m.self.Member)),
		})
	}
	if !equal {
		m.sendRecords(source, differing, message.Joining)
	}
}

// sendRecords sends the records of differing buckets in random order, in chunks that fit a
// datagram, until the byte budget is used up; the first chunk is always sent.
func (m *Machine) sendRecords(address string, differing [bucketCount]bool, joining bool) {
	var rumours []Rumour
	for _, each := range m.records {
		if differing[bucketOf(each.Node)] && !(joining && each.State == Dead) {
			rumours = append(rumours, Rumour(each.Member))
		}
	}
	m.random.Shuffle(len(rumours), func(i, j int) { rumours[i], rumours[j] = rumours[j], rumours[i] })
	for first := true; len(rumours) > 0 && (first || m.syncing.tokens > 0); first = false {
		chunk := Message{Kind: KindMembers}
		size := fixedSize
		for len(rumours) > 0 && size+estimatedSize(rumours[0]) <= messageBudget {
			size += estimatedSize(rumours[0])
			chunk.Rumours = append(chunk.Rumours, rumours[0])
			rumours = rumours[1:]
		}
		m.complete(&chunk)
		m.syncing.tokens -= float64(size)
		m.output.Messages = append(m.output.Messages, Envelope{To: address, Message: chunk})
	}
}

func bucketOf(node ident.Node) int { return int(xxhash.Sum64String(string(node)) % bucketCount) }

// digests returns the digest of each bucket of members. Dead members are omitted, since
// routers remove them at different times.
func (m *Machine) digests(salt uint64) []byte {
	var sums [bucketCount]uint32
	var buffer []byte
	for _, each := range m.records {
		if each.State == Dead {
			continue
		}
		buffer = binary.BigEndian.AppendUint64(buffer[:0], salt)
		buffer = binary.BigEndian.AppendUint64(buffer, each.Incarnation)
		buffer = binary.BigEndian.AppendUint64(buffer, each.FleetVersion)
		buffer = append(append(buffer, byte(each.State)), each.Node...)
		sums[bucketOf(each.Node)] ^= uint32(xxhash.Sum64(buffer))
	}
	digests := make([]byte, 0, bucketCount*bucketBytes)
	for _, sum := range sums {
		digests = binary.BigEndian.AppendUint32(digests, sum)
	}
	return digests
}
