// Package application is the stand-in for an application back end: it executes
// what it is asked, keeps a truth log of every execution, and can be made to
// refuse, stall, slow down or cut connections before or after executing.
//
// It never deduplicates by idempotency key, so that a request which was let
// through twice shows as two executions.
package application

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/fieldpond/fieldpond/internal/ident"
)

// Execution is one execution that truly took place.
type Execution struct {
	// Order counts the executions of this process, starting at 1.
	Order          uint64            `json:"order"`
	Time           time.Time         `json:"time"`
	Incarnation    ident.Incarnation `json:"incarnation"`
	RequestID      ident.Request     `json:"request_id"`
	Attempt        string            `json:"attempt"`
	IdempotencyKey string            `json:"idempotency_key"`
	Tenant         ident.Tenant      `json:"tenant"`
	Service        ident.Service     `json:"service"`
	Method         string            `json:"method"`
	Path           string            `json:"path"`
	Query          string            `json:"query,omitempty"`
	// BodyDigest is the SHA-256 of the body, in hex.
	BodyDigest string `json:"body_digest"`
}

// idempotencyScope names the work that must not run twice.
type idempotencyScope struct {
	tenant  ident.Tenant
	service ident.Service
	key     string
}

// truthLog keeps every execution. It is safe for concurrent use.
type truthLog struct {
	mutex           sync.Mutex
	executions      []Execution
	executionCounts map[idempotencyScope]int
	// writer receives a JSON line before each execution; nil means none.
	writer io.Writer
}

// add records an execution and returns it with its order number, and how often
// its key has run by now.
func (l *truthLog) add(execution Execution) (Execution, int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	execution.Order = uint64(len(l.executions)) + 1
	l.executions = append(l.executions, execution)
	if l.writer != nil {
		_ = json.NewEncoder(l.writer).Encode(execution)
	}
	name := idempotencyScope{tenant: execution.Tenant, service: execution.Service, key: execution.IdempotencyKey}
	l.executionCounts[name]++
	return execution, l.executionCounts[name]
}

func (l *truthLog) all() []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.executions[:len(l.executions):len(l.executions)]
}

// Digest is what an answer echoes of its request: the SHA-256, in hex, of
// tenant, idempotency key and body, each with its length before it.
func Digest(tenant ident.Tenant, idempotencyKey string, body []byte) string {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(tenant), []byte(idempotencyKey), body} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
