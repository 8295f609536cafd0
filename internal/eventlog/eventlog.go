// Package eventlog writes log entries as JSON lines without blocking the caller.
// Entries pass through a bounded ring to one writer; as the ring fills up, debug
// lines are dropped first, and the volume of all lines is bounded. The number of dropped lines is itself logged.
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
	// capacity is the maximum number of waiting entries.
	capacity = 2048
	// debugCapacity is the number of waiting entries at which debug entries are
	// dropped.
	debugCapacity = capacity / 2
	// flushInterval is the time between two writes.
	flushInterval = 200 * time.Millisecond
	// maxWriteBytes bounds the bytes of one write.
	maxWriteBytes = 64 << 10
	// bytesPerSecond and burstBytes bound the volume of the log, which clients could fill a disk with. Further entries
	// are dropped.
	bytesPerSecond = 1 << 20
	burstBytes     = 4 << 20
)

// Log is an apex/log handler, safe for concurrent use.
type Log struct {
	writer          io.Writer
	node            string
	entries         *ring.Ring[*log.Entry]
	waiting         atomic.Int64
	dropped         atomic.Uint64
	reportedDropped uint64
	// volume is the number of bytes that may be written now, as of refilledAt.
	volume     int
	refilledAt time.Time
}

var _ log.Handler = (*Log)(nil)

// New returns a log for a node; Run writes its entries.
func New(writer io.Writer, node string) *Log {
	return &Log{
		writer: writer, node: node, entries: ring.New[*log.Entry]("log", capacity, ring.RefuseNew),
		volume: burstBytes, refilledAt: time.Now(),
	}
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

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Run writes entries until ctx ends, and then the remaining ones.
func (l *Log) Run(ctx context.Context) {
	wait.Every(ctx, flushInterval, l.flush)
	l.flush()
}

// flush writes all waiting entries.
func (l *Log) flush() {
	var lines bytes.Buffer
	l.refill(time.Now())
	for entry, found := l.entries.Pop(); found; entry, found = l.entries.Pop() {
		l.waiting.Add(-1)
		if l.volume <= 0 {
			l.dropped.Add(1)
			continue
		}
		l.append(&lines, entry)
		if lines.Len() >= maxWriteBytes {
			l.write(&lines)
		}
	}
	if total := l.dropped.Load(); total > l.reportedDropped {
		l.append(&lines, &log.Entry{
			Level: log.WarnLevel, Timestamp: time.Now(), Message: "log_lines_dropped",
			Fields: log.Fields{"count": total - l.reportedDropped},
		})
		l.reportedDropped = total
	}
	l.write(&lines)
}

// refill adds the volume of the time that has passed.
func (l *Log) refill(now time.Time) {
	l.volume = min(l.volume+int(now.Sub(l.refilledAt).Seconds()*bytesPerSecond), burstBytes)
	l.refilledAt = now
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
	l.volume -= len(encoded) + 1
	lines.Write(encoded)
	lines.WriteByte('\n')
}

// write writes and clears lines. On a write error the lines are lost.
func (l *Log) write(lines *bytes.Buffer) {
	if lines.Len() > 0 {
		_, _ = l.writer.Write(lines.Bytes())
		lines.Reset()
	}
}
