package exchange_test

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/exchange"
)

// A body that is read fast and then no more must not fill the memory of the machine: what lies unread in the
// kernel counts as the router's.
func TestUnreadBytesAreBounded(t *testing.T) {
	is := is.New(t)
	const read, bound, sendBuffer = 256 << 20, 64 << 10, 16 << 10
	var sent atomic.Int64
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		_ = connection.(*net.TCPConn).SetWriteBuffer(sendBuffer)
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		_, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1099511627776\r\n\r\n")
		piece := make([]byte, 8<<10)
		for err == nil {
			var count int
			count, err = connection.Write(piece)
			sent.Add(int64(count))
		}
	})
	pool := exchange.NewPool(exchange.Options{ReceiveBytes: bound})
	response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
	is.NoErr(err)
	taken, err := io.CopyBuffer(io.Discard, io.LimitReader(response.Body, read), make([]byte, 64<<10))
	is.NoErr(err)
	is.Equal(taken, int64(read))
	for before := int64(-1); before != sent.Load(); {
		before = sent.Load()
		time.Sleep(200 * time.Millisecond)
	}
	// The kernel allows for twice what is asked, at both sides.
	is.True(sent.Load()-read <= 2*bound+2*sendBuffer+(64<<10))
	is.NoErr(response.Body.Close())
}

// Long bodies must arrive whole and without pauses though little of them may lie unread.
func TestLongBodiesArriveThroughSmallWindows(t *testing.T) {
	is := is.New(t)
	const size = 4 << 20
	server := listen(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4194304\r\n\r\n")
			_, _ = connection.Write(make([]byte, size))
		}
	})
	pool := exchange.NewPool(exchange.Options{ReceiveBytes: 16 << 10})
	defer pool.CloseIdle(true)
	for range 5 {
		response, err := pool.Do(t.Context(), server.address(), requestWithID("1"))
		is.NoErr(err)
		taken, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(taken, int64(size))
		is.NoErr(response.Body.Close())
	}
	is.Equal(pool.Opened(), uint64(1))
}
