package harness

import "syscall"

// childAttributes makes the kernel kill a child when its parent dies.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
