package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// adopterFiles holds the accepted files, and for each version a valid file that was
// not accepted.
type adopterFiles struct {
	accepted   [][]byte
	unaccepted [][]byte
	byDigest   map[Digest][]byte
}

func newAdopterFiles(versions int) *adopterFiles {
	files := &adopterFiles{byDigest: map[Digest][]byte{}}
	for version := range versions {
		accepted, unaccepted := smallFile(fmt.Sprint("a", version)), smallFile(fmt.Sprint("n", version))
		files.accepted, files.unaccepted = append(files.accepted, accepted), append(files.unaccepted, unaccepted)
		files.byDigest[DigestOf(accepted)], files.byDigest[DigestOf(unaccepted)] = accepted, unaccepted
	}
	return files
}

func (a *adopterFiles) ref(version Version) FileRef {
	return FileRef{Version: version, Digest: DigestOf(a.accepted[version-1])}
}

// adopterRun drives one Adopter with answers that may be correct, stale, wrong or
// broken, and checks every adoption.
type adopterRun struct {
	t       *rapid.T
	files   *adopterFiles
	adopter *Adopter
	now     time.Time
	// tableVersion is the version in force; tableRefs are the files the table reported.
	tableVersion Version
	tableRefs    map[FileRef]bool
	open         []AdoptAction
	last         FileRef
}

func (r *adopterRun) observe(actions []AdoptAction) {
	for _, action := range actions {
		switch {
		case action.Kind != ActionAdopt:
			r.open = append(r.open, action)
			continue
		case action.Ref.Version < r.last.Version:
			r.t.Fatalf("reverted from %v to %v", r.last, action.Ref)
		case action.Ref.Version == r.last.Version && !r.tableRefs[action.Ref]:
			r.t.Fatalf("replaced %v by %v, which the table did not report", r.last, action.Ref)
		case DigestOf(action.Body) != action.Ref.Digest:
			r.t.Fatalf("adopted a body that is not %v", action.Ref)
		}
		r.last = action.Ref
	}
}

// answer answers a request; unless honest, the answer may fail, be stale or wrong.
func (r *adopterRun) answer(action AdoptAction, honest bool) {
	version, fails := r.tableVersion, false
	if !honest {
		version = Version(rapid.IntRange(1, int(r.tableVersion)).Draw(r.t, "answer"))
		fails = rapid.IntRange(0, 2).Draw(r.t, "fails") == 0
	}
	switch action.Kind {
	case ActionPollTable:
		if fails {
			r.adopter.PollFailed(r.now, 0)
			return
		}
		r.tableRefs[r.files.ref(version)] = true // a late answer may be stale
		r.adopter.HeadPolled(r.now, r.files.ref(version), true)
	case ActionAskPeer:
		if fails {
			r.adopter.PeerFailed(action.Address)
			return
		}
		r.adopter.PeerAnswered(r.now, action.Address, r.files.ref(version))
	case ActionFetchBody:
		r.answerBody(action, honest, fails)
	}
}

func (r *adopterRun) answerBody(action AdoptAction, honest, fails bool) {
	body := r.files.byDigest[action.Ref.Digest]
	if !honest && rapid.IntRange(0, 3).Draw(r.t, "wrong") == 0 {
		body = rapid.SampledFrom([][]byte{{}, []byte("x"), r.files.unaccepted[0]}).Draw(r.t, "body")
	}
	if fails || body == nil {
		r.adopter.FetchFailed(r.now)
		return
	}
	r.observe(r.adopter.BodyReceived(r.now, body))
}

// step advances the time and triggers one event.
func (r *adopterRun) step() {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r.t, "milliseconds")) * time.Millisecond)
	version := Version(rapid.IntRange(1, int(r.tableVersion)).Draw(r.t, "version"))
	switch rapid.IntRange(0, 6).Draw(r.t, "event") {
	case 0:
		r.tableVersion = min(r.tableVersion+1, Version(len(r.files.accepted)))
	case 1:
		r.adopter.ObserveHead(r.now, r.files.ref(version), "p1")
	case 2:
		r.adopter.ObserveHead(r.now, FileRef{Version: version, Digest: DigestOf(r.files.unaccepted[version-1])}, "p2")
	case 3:
		r.adopter.ObserveHead(r.now, FileRef{Version: r.tableVersion + 5, Digest: "nobody has this"}, "p2")
	default:
		if len(r.open) > 0 {
			index := rapid.IntRange(0, len(r.open)-1).Draw(r.t, "open")
			action := r.open[index]
			r.open = append(r.open[:index:index], r.open[index+1:]...)
			r.answer(action, false)
		}
	}
	r.observe(r.adopter.Tick(r.now))
}

// settle answers all requests correctly.
func (r *adopterRun) settle() {
	const rounds = 400
	for range rounds {
		answering := r.open
		r.open = nil
		for _, action := range answering {
			r.answer(action, true)
		}
		r.observe(r.adopter.Tick(r.now))
		r.now = later(r.now, r.adopter.NextTick(r.now))
	}
}

// TestAdopterNeverReverts checks the Adopter's invariants under correct, stale, wrong
// and broken answers in any order, and that it converges on correct ones.
func TestAdopterNeverReverts(t *testing.T) {
	files := newAdopterFiles(6)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		run := &adopterRun{
			t: t, files: files, now: now, tableVersion: 1, tableRefs: map[FileRef]bool{},
			adopter: NewAdopter(now, func() float64 { return 0.5 }),
		}
		run.adopter.SetTopology(now, Topology{
			Poller: rapid.Bool().Draw(t, "poller"), Members: rapid.SampledFrom([]int{3, 100}).Draw(t, "members"),
			Peers: []Peer{{Address: "p1", SameZone: true, Poller: true}, {Address: "p2"}},
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			run.step()
		}
		run.settle()
		if run.adopter.Current() != files.ref(run.tableVersion) {
			t.Fatalf("in force %v, accepted %v", run.adopter.Current(), files.ref(run.tableVersion))
		}
	})
}

// TestStartPrefersTable guards against a stale peer that reverts a node
// which restarts while the table answers.
func TestStartPrefersTable(t *testing.T) {
	files := newAdopterFiles(3)
	cases := []struct {
		name  string
		table bool
		want  Version
	}{{"table answers", true, 3}, {"table is down", false, 2}}
	for _, test := range cases {
		now := time.Unix(1000, 0)
		adopter := NewAdopter(now, func() float64 { return 0.5 })
		adopter.SetTopology(now, Topology{Members: 3, Peers: []Peer{{Address: "p1"}, {Address: "p2"}}})
		adopter.PeerAnswered(now, "p1", files.ref(1))
		for _, action := range adopter.Tick(now) {
			if action.Kind == ActionFetchBody {
				t.Errorf("%s: fetched %v before the table answered", test.name, action.Ref)
			}
		}
		adopter.PeerAnswered(now, "p2", files.ref(2))
		if test.table {
			adopter.HeadPolled(now, files.ref(3), true)
		} else {
			adopter.PollFailed(now, 0)
		}
		for _, action := range adopter.Tick(now) {
			if action.Kind == ActionFetchBody {
				adopter.BodyReceived(now, files.byDigest[action.Ref.Digest])
			}
		}
		if adopter.Current() != files.ref(test.want) {
			t.Errorf("%s: in force %v, want version %d", test.name, adopter.Current(), test.want)
		}
	}
}

// TestTableResolvesConflictingDigests checks that of two digests reported for one
// version neither is adopted before the table reports one, and that the table's
// replaces a wrong one in force.
func TestTableResolvesConflictingDigests(t *testing.T) {
	files := newAdopterFiles(2)
	accepted, other := files.ref(2), FileRef{Version: 2, Digest: DigestOf(files.unaccepted[1])}
	cases := []struct {
		name     string
		reported []FileRef
		want     FileRef
	}{
		{"reported together", []FileRef{other, accepted}, FileRef{}},
		{"wrong one only", []FileRef{other}, other},
		{"correct one only", []FileRef{accepted}, accepted},
	}
	for _, test := range cases {
		now := time.Unix(1000, 0)
		adopter := NewAdopter(now, func() float64 { return 0.5 })
		adopter.SetTopology(now, Topology{Members: 3, Peers: []Peer{{Address: "p1"}, {Address: "p2"}}})
		run := func() {
			for _, action := range adopter.Tick(now) {
				if action.Kind == ActionFetchBody {
					adopter.BodyReceived(now, files.byDigest[action.Ref.Digest])
				}
			}
		}
		adopter.PollFailed(now, 0)
		for index, ref := range test.reported {
			adopter.ObserveHead(now, ref, fmt.Sprint("p", index+1))
		}
		run()
		if adopter.Current() != test.want {
			t.Errorf("%s: in force %v before the table answered, want %v", test.name, adopter.Current(), test.want)
		}
		adopter.HeadPolled(now, accepted, true)
		run()
		if adopter.Current() != accepted {
			t.Errorf("%s: in force %v after the table answered, want %v", test.name, adopter.Current(), accepted)
		}
	}
}

// TestStartRetriesFailedFetch checks that a node without a file, with the
// table down, soon retries a body that no source delivered.
func TestStartRetriesFailedFetch(t *testing.T) {
	const failures, limit = 3, 5 * time.Second
	files := newAdopterFiles(1)
	now := time.Unix(1000, 0)
	adopter := NewAdopter(now, func() float64 { return 0.5 })
	adopter.SetTopology(now, Topology{Poller: true, Members: 2, Peers: []Peer{{Address: "p1", SameZone: true}}})
	fetches := 0
	for end := now.Add(limit); now.Before(end) && adopter.Current().Version == 0; now = later(now.Add(time.Millisecond), adopter.NextTick(now)) {
		for _, action := range adopter.Tick(now) {
			switch action.Kind {
			case ActionPollTable:
				adopter.PollFailed(now, 0)
			case ActionAskPeer:
				adopter.PeerAnswered(now, action.Address, files.ref(1))
			case ActionFetchBody:
				fetches++
				if action.Address == "" || fetches <= failures {
					adopter.FetchFailed(now)
					continue
				}
				adopter.BodyReceived(now, files.byDigest[action.Ref.Digest])
			}
		}
	}
	if adopter.Current() != files.ref(1) {
		t.Errorf("no file after %v and %d fetches", limit, fetches)
	}
}
