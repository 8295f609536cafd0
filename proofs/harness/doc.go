// Package harness starts a cluster of real processes on the loopback interface:
// a platform, engines, applications and routers. It can kill, stop, freeze and
// restart each of them, inject faults into the stand-ins and the connections,
// and read the stand-ins' truth logs.
//
// Every process is killed by its id when its test ends, and by the kernel when
// the test program dies. Ports come from blocks below the ephemeral range,
// each reserved by an open socket, so that test programs can run in parallel
// and a restarted process finds its port free.
package harness
