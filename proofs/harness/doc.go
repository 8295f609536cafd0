// Package harness starts a whole rehearsal of real processes on the loopback
// interface for the proofs: a platform, engines, applications and routers. It
// can kill, stop, freeze and restart each of them, put faults into the
// stand-ins and the connections, and read the stand-ins' truth logs.
//
// Every process is ended by its id when its test ends, and by the kernel when
// the test program dies. Ports come from blocks below the ephemeral range,
// each guarded by an open socket, so that test programs may run side by side
// and a restarted process finds its port free.
package harness
