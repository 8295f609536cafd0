package truth

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// DefaultCapacity is the default number of records kept in memory.
const DefaultCapacity = 200_000

// maxLineBytes limits a JSON line, enough for the hashes of a long prompt.
const maxLineBytes = 16 << 20

// Log keeps the newest records in memory and optionally writes each to a
// writer. It is safe for concurrent use.
type Log struct {
	mutex    sync.Mutex
	records  []Record
	oldest   int
	capacity int
	dropped  uint64
	writer   io.Writer
	failure  error
}

// NewLog returns an empty log that keeps at most capacity records. Every
// record is also written to writer as a JSON line, unless writer is nil.
func NewLog(capacity int, writer io.Writer) *Log {
	return &Log{capacity: max(capacity, 1), writer: writer}
}

// Append adds a record. A full log drops its oldest record and counts it.
func (l *Log) Append(record Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.records) < l.capacity {
		l.records = append(l.records, record)
	} else {
		l.records[l.oldest] = record
		l.oldest = (l.oldest + 1) % l.capacity
		l.dropped++
	}
	if l.writer == nil || l.failure != nil {
		return
	}
	if err := json.NewEncoder(l.writer).Encode(record); err != nil {
		l.failure = errors.Wrap(err, "write truth record")
	}
}

// Records returns a copy of the records in memory, oldest first.
func (l *Log) Records() []Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ordered := make([]Record, 0, len(l.records))
	ordered = append(ordered, l.records[l.oldest:]...)
	return append(ordered, l.records[:l.oldest]...)
}

// Dropped returns the number of records dropped from memory. A proof must not
// rely on a log that dropped any.
func (l *Log) Dropped() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dropped
}

// Err returns the first error of the writer, after which nothing is written.
func (l *Log) Err() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure
}

// WriteTo writes the records in memory as JSON lines.
func (l *Log) WriteTo(writer io.Writer) (int64, error) {
	counter := &countingWriter{destination: writer}
	encoder := json.NewEncoder(counter)
	for _, record := range l.Records() {
		if err := encoder.Encode(record); err != nil {
			return counter.written, errors.Wrap(err, "write truth log")
		}
	}
	return counter.written, nil
}

// Read loads records from JSON lines. The error for a malformed line contains
// its number.
func Read(reader io.Reader) ([]Record, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var records []Record
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, fault.Wrap(err, fault.BadRequest, "truth log line %d is not a valid record", line).
				WithRemedy("pass a complete JSON Lines file written by a stand-in's --truth flag")
		}
		records = append(records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "truth log cannot be read").
			WithRemedy("pass a complete JSON Lines file written by a stand-in's --truth flag")
	}
	return records, nil
}

type countingWriter struct {
	destination io.Writer
	written     int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	count, err := w.destination.Write(data)
	w.written += int64(count)
	return count, err
}
