package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"privateKey"`
}

// storeRow is a row of the store as the platform's page describes it.
type storeRow struct {
	rowID
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// rowsAnswer is an answer of the store with rows.
type rowsAnswer struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"more"`
	Version uint64     `json:"ver"`
	NowMS   float64    `json:"now_ms"`
}

// store is a small stand-in of the platform's metadata store. It loses nothing that it has acknowledged.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]storeRow
	version uint64
	history []storeRow
	changed chan struct{}
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[rowID]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transaction)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go func() { _ = http.Serve(listener, withEra(mux)) }()
	return s, nil
}

// withEra adds the era of the store to all answers.
func withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		next.ServeHTTP(w, r)
	})
}

// now returns the store's steady clock in milliseconds.
func (s *store) now() float64 { return float64(time.Since(s.started).Milliseconds() + 1) }

// put writes a row as the operator or a server does. Its return is the acknowledgement.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{rowID: rowID{Table: table, Key: key}, Value: encoded, Version: s.version})
}

func (s *store) set(row storeRow) {
	s.rows[row.rowID] = row
	s.record(row)
}

func (s *store) drop(id rowID) {
	delete(s.rows, id)
	s.record(storeRow{rowID: id, Version: s.version, Gone: true})
}

func (s *store) record(change storeRow) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []storeRow `json:"expectedRev"`
		Put      []storeRow `json:"put"`
		Remove   []rowID    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := rowsAnswer{Rows: []storeRow{}}
	holds := true
	for _, wanted := range body.Expected {
		found, exists := s.rows[wanted.rowID]
		holds = holds && found.Version == wanted.Version
		if exists {
			answer.Rows = append(answer.Rows, found)
		}
	}
	if holds {
		s.version++
		answer.Rows = answer.Rows[:0]
		for _, put := range body.Put {
			s.set(storeRow{rowID: put.rowID, Value: put.Value, Version: s.version})
		}
		for _, id := range body.Remove {
			s.drop(id)
		}
	} else {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	answer.Version, answer.NowMS = s.version, s.now()
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := rowsAnswer{Rows: []storeRow{}, Version: s.version, NowMS: s.now()}
	end := query.Get("targetVersion")
	for id, row := range s.rows {
		if id.Table == query.Get("table") && id.Key >= query.Get("from") && (end == "" || id.Key < end) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	sort.Slice(answer.Rows, func(a, b int) bool { return answer.Rows[a].Key < answer.Rows[b].Key })
	if len(answer.Rows) > limit {
		answer.Rows, answer.More = answer.Rows[:limit], true
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	expired := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer expired.Stop()
	for over := false; ; {
		s.mu.Lock()
		answer := rowsAnswer{Rows: []storeRow{}, Version: s.version, NowMS: s.now()}
		for _, change := range s.history {
			if change.Table == query.Get("table") && change.Version > after {
				answer.Rows = append(answer.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 || over {
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-changed:
		case <-expired.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
