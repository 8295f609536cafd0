package eventlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/eventlog"
)

// lockedBuffer is a writer that blocks while its mutex is held.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(data)
}

func entry(level log.Level, message string) *log.Entry {
	return &log.Entry{Level: level, Message: message, Fields: log.Fields{"request": "r1"}, Timestamp: time.Unix(0, 0)}
}

func TestEachEntryIsOneJSONLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output lockedBuffer
		events := eventlog.New(&output, "node-1")
		ctx, stop := context.WithCancel(t.Context())
		go events.Run(ctx)
		is.NoErr(events.HandleLog(entry(log.InfoLevel, "sent")))
		is.NoErr(events.HandleLog(entry(log.WarnLevel, "refused")))
		stop()
		synctest.Wait()
		lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
		is.Equal(len(lines), 2)
		var first map[string]string
		is.NoErr(json.Unmarshal(lines[0], &first))
		is.Equal(first, map[string]string{
			"at": "1970-01-01T00:00:00.000Z", "level": "info", "event": "sent", "node": "node-1", "request": "r1",
		})
	})
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output lockedBuffer
		output.mutex.Lock()
		events := eventlog.New(&output, "node-1")
		ctx, stop := context.WithCancel(t.Context())
		go events.Run(ctx)
		for range 5000 {
			is.NoErr(events.HandleLog(entry(log.InfoLevel, "sent")))
		}
		is.True(events.Dropped() > 0)
		output.mutex.Unlock()
		time.Sleep(time.Second)
		stop()
		synctest.Wait()
		is.True(bytes.Contains(output.Bytes(), []byte("log_lines_dropped")))
	})
}

func TestDebugLinesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	events := eventlog.New(&lockedBuffer{}, "node-1")
	for range 1024 {
		is.NoErr(events.HandleLog(entry(log.DebugLevel, "sent")))
	}
	is.Equal(events.Dropped(), uint64(0))
	is.NoErr(events.HandleLog(entry(log.DebugLevel, "sent")))
	is.Equal(events.Dropped(), uint64(1))
	is.NoErr(events.HandleLog(entry(log.WarnLevel, "refused")))
	is.Equal(events.Dropped(), uint64(1))
}

// Clients must not be able to make a router write without a bound.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output lockedBuffer
		events := eventlog.New(&output, "node-1")
		ctx, stop := context.WithCancel(t.Context())
		go events.Run(ctx)
		const seconds, mebibyte = 20, 1 << 20
		text := strings.Repeat("x", 4<<10)
		for range seconds * 100 {
			for range 20 {
				is.NoErr(events.HandleLog(entry(log.InfoLevel, text)))
			}
			time.Sleep(10 * time.Millisecond)
		}
		stop()
		synctest.Wait()
		is.True(events.Dropped() > 0)
		is.True(output.Len() < (seconds+5)*mebibyte)
		is.True(output.Len() > seconds*mebibyte/2)
		is.True(bytes.Contains(output.Bytes(), []byte("log_lines_dropped")))
	})
}
