//go:build !linux

package harness

import "syscall"

// childAttributes is nil where the kernel cannot kill a child with its parent.
func childAttributes() *syscall.SysProcAttr { return nil }
