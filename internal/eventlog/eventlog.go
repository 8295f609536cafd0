// Package eventlog writes log entries as one JSON object a line, without ever
// holding up whoever logs. Entries go through a bounded ring to one writer;
// when the ring is filling, lines of debug level are dropped first, and the
// number of lines dropped is told in a line of its own.
package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/fieldpond/fieldpond/internal/ring"
	"github.com/fieldpond/fieldpond/internal/wait"
)

const (
	// capacity is the number of entries that may wait to be written.
	capacity = 2048
	// debugCapacity is the number of waiting entries from which on those of debug
	// level are dropped.
	debugCapacity = capacity / 2
	// flushInterval is the time between two writes.
	flushInterval = 200 * time.Millisecond
	// maxWriteBytes bounds the bytes of one write.
	maxWriteBytes = 64 << 10
)

// Log is a handler of apex/log. It is safe for concurrent use.
type Log struct {
	writer          io.Writer
	node            string
	entries         *ring.Ring[*log.Entry]
	waiting         atomic.Int64
	dropped         atomic.Uint64
	reportedDropped uint64
}

var _ log.Handler = (*Log)(nil)

// New returns a log of a node; Run writes it.
func New(writer io.Writer, node string) *Log {
	return &Log{writer: writer, node: node, entries: ring.New[*log.Entry]("log", capacity, ring.RefuseNew)}
}

// HandleLog implements log.Handler. It never blocks.
func (l *Log) HandleLog(entry *log.Entry) error {
	if entry.Level == log.DebugLevel && l.waiting.Load() >= debugCapacity {
		l.dropped.Add(1)
		return nil
	}
	l.waiting.Add(1)
	if !l.entries.Push(entry) {
		l.waiting.Add(-1)
		l.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Run writes entries until ctx ends, and then what still waits.
func (l *Log) Run(ctx context.Context) {
	wait.Every(ctx, flushInterval, l.flush)
	l.flush()
}

// flush writes all entries that wait.
func (l *Log) flush() {
	var lines bytes.Buffer
	for entry, found := l.entries.Pop(); found; entry, found = l.entries.Pop() {
		l.waiting.Add(-1)
		l.append(&lines, entry)
		if lines.Len() >= maxWriteBytes {
			l.write(&lines)
		}
	}
	if dropped := l.dropped.Load(); dropped > l.reportedDropped {
		l.append(&lines, &log.Entry{
			Level: log.WarnLevel, Timestamp: time.Now(), Message: "log_lines_dropped",
			Fields: log.Fields{"count": dropped - l.reportedDropped},
		})
		l.reportedDropped = dropped
	}
	l.write(&lines)
}

func (l *Log) append(lines *bytes.Buffer, entry *log.Entry) {
	line := make(map[string]any, len(entry.Fields)+4)
	maps.Copy(line, entry.Fields)
	line["at"] = entry.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z")
	line["level"] = entry.Level.String()
	line["event"] = entry.Message
	line["node"] = l.node
	encoded, err := json.Marshal(line)
	if err != nil {
		l.dropped.Add(1)
		return
	}
	lines.Write(encoded)
	lines.WriteByte('\n')
}

// write hands the lines over. A reader that is gone costs only the lines.
func (l *Log) write(lines *bytes.Buffer) {
	if lines.Len() > 0 {
		_, _ = l.writer.Write(lines.Bytes())
		lines.Reset()
	}
}
