package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// relay stands between the routers and one engine. While a router is cut off, its connections are reset: those that are
// open at once, new ones as soon as they have opened.
type relay struct {
	world    *world
	listener net.Listener
	engine   string

	mu   sync.Mutex
	open map[net.Conn]struct{}
	// cut is the router that is cut off, or nil; resets counts its connections that were reset.
	cut    *router
	resets int
}

// newRelay starts a relay to the address of an engine.
func newRelay(w *world, engine string) (*relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	y := &relay{world: w, listener: listener, engine: engine, open: map[net.Conn]struct{}{}}
	go y.run()
	return y, nil
}

func (y *relay) address() string { return y.listener.Addr().String() }

func (y *relay) run() {
	for {
		conn, err := y.listener.Accept()
		if err != nil {
			return
		}
		go y.pass(conn)
	}
}

// pass passes the bytes of a connection on, unless its router is cut off.
func (y *relay) pass(conn net.Conn) {
	y.mu.Lock()
	y.open[conn] = struct{}{}
	cut := y.cut
	y.mu.Unlock()
	defer func() {
		y.mu.Lock()
		delete(y.open, conn)
		y.mu.Unlock()
		_ = conn.Close()
	}()
	if cut != nil && cut.owns(conn) {
		y.reset(conn)
		return
	}
	to, err := net.Dial("tcp4", y.engine)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(conn, to)
		_ = conn.Close()
	}()
	_, _ = io.Copy(to, conn)
	_ = to.Close()
}

func (y *relay) reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	y.mu.Lock()
	defer y.mu.Unlock()
	y.resets++
}

// setCut cuts a router off from the engine, or ends that.
func (y *relay) setCut(r *router) {
	y.mu.Lock()
	y.cut = r
	var open []net.Conn
	for conn := range y.open {
		open = append(open, conn)
	}
	y.mu.Unlock()
	for _, conn := range open {
		if r != nil && r.owns(conn) {
			y.reset(conn)
		}
	}
}

// owns reports whether the other end of a connection is a socket of the router's process.
func (r *router) owns(conn net.Conn) bool {
	wanted := kernelAddress(conn.RemoteAddr().String()) + " " + kernelAddress(conn.LocalAddr().String())
	for range 3 {
		if inode := inodeOf(wanted); inode != "" {
			links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", r.command.Process.Pid))
			for _, link := range links {
				if target, _ := os.Readlink(link); target == "socket:["+inode+"]" {
					return true
				}
			}
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// inodeOf returns the inode of the socket with a local and a remote address as /proc/net/tcp has them, empty if there is
// none.
func inodeOf(addresses string) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) >= 10 && fields[1]+" "+fields[2] == addresses && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}
