// Package application simulates an application back end. It executes every
// request, records it in a truth log, and can be made to refuse, stall, delay or
// close connections before or after executing.
//
// It never deduplicates by idempotency key, so that a request forwarded twice
// appears as two executions.
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

// Execution is a record of one execution.
type Execution struct {
	// Order numbers the executions of this process, starting at 1.
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

// idempotencyScope identifies a request that must be executed at most once.
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

// add records an execution and returns it with its order number and the number
// of executions with its key.
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

// Digest returns the digest of a request in its answer: the SHA-256, in hex, of
// the length-prefixed tenant, idempotency key and body.
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
