package harness

import "syscall"

// childAttributes makes the kernel end a child with its parent.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
