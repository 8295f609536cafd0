//go:build !linux

package harness

import "syscall"

// childAttributes is empty where the kernel cannot end a child with its parent.
func childAttributes() *syscall.SysProcAttr { return nil }
