package harness

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times that the store takes, as in the site files: 4 ms an answer, 5 ms a transaction.
const (
	readTime        = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
	// maxPageRows is the largest page.
	maxPageRows = 500
)

// Tables that the pages name.
const (
	TableOperator = "op"
	TableServers  = "servers"
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"privateKey"`
}

// row is a row, or a change that removed one.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// rowsAnswer is an answer of the store.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

// condition is the version that a row must have.
type condition struct {
	rowKey
	Version uint64 `json:"ver"`
}

// transaction is the body of a transaction.
type transaction struct {
	Conditions []condition `json:"expectedRev"`
	Put        []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"put"`
	Remove []rowKey `json:"remove"`
}

// Store is a stand-in of the platform's metadata store: rows, transactions, ranges and changes.
type Store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	history []row
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transaction)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

// Put writes a row as the operator or an engine does.
func (s *Store) Put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{rowKey: rowKey{Table: table, Key: key}, Value: encoded, Version: s.version})
	s.notify()
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.unset(rowKey{Table: table, Key: key})
	s.notify()
}

// set stores a row; the mutex is held.
func (s *Store) set(written row) {
	s.rows[written.rowKey] = written
	s.history = append(s.history, written)
}

// unset removes a row; the mutex is held.
func (s *Store) unset(key rowKey) {
	delete(s.rows, key)
	s.history = append(s.history, row{rowKey: key, Version: s.version, Gone: true})
}

// notify wakes those who wait for changes; the mutex is held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns an answer without rows; the mutex is held.
func (s *Store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, NowMs: time.Since(s.started).Milliseconds() + 1}
}

func (s *Store) transaction(w http.ResponseWriter, r *http.Request) {
	time.Sleep(transactionTime)
	var body transaction
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := http.StatusOK, s.answer()
	for _, wanted := range body.Conditions {
		found := s.rows[wanted.rowKey]
		if found.Version != wanted.Version {
			status = http.StatusPreconditionFailed
		}
		if found.Version > 0 {
			answer.Rows = append(answer.Rows, found)
		}
	}
	if status == http.StatusOK {
		s.version++
		for _, put := range body.Put {
			s.set(row{rowKey: put.rowKey, Value: put.Value, Version: s.version})
		}
		for _, removed := range body.Remove {
			s.unset(removed)
		}
		s.notify()
		answer = s.answer()
	}
	writeJSON(w, status, answer)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer, end := s.answer(), query.Get("targetVersion")
	for key, found := range s.rows {
		if key.Table == query.Get("table") && key.Key >= query.Get("from") && (end == "" || key.Key < end) {
			answer.Rows = append(answer.Rows, found)
		}
	}
	sort.Slice(answer.Rows, func(a, b int) bool { return answer.Rows[a].Key < answer.Rows[b].Key })
	if len(answer.Rows) > limit {
		answer.Rows, answer.More = answer.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, answer)
}

// feed answers with the changes of a table after a version, once there is one or the wait is over.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		answer, changed := s.changesAfter(query.Get("table"), after)
		if len(answer.Rows) > 0 || expired {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that is closed at the next
// change of any.
func (s *Store) changesAfter(table string, after uint64) (rowsAnswer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answer()
	for _, change := range s.history {
		if change.Table == table && change.Version > after && len(answer.Rows) < maxPageRows {
			answer.Rows = append(answer.Rows, change)
		}
	}
	if len(answer.Rows) == maxPageRows {
		answer.Version = answer.Rows[maxPageRows-1].Version
	}
	return answer, s.changed
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(value)
}
