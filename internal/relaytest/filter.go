package relaytest

import (
	"encoding/binary"
	"syscall"
	"unsafe"
)

// Socket options of Linux that package syscall does not define: SO_ATTACH_FILTER and
// SO_DETACH_FILTER.
const (
	soAttachFilter = 26
	soDetachFilter = 27
)

// packetFilter is the kernel's struct sock_fprog of a classic BPF program. An instruction
// is a two-byte code, two jumps and an operand.
type packetFilter struct {
	length uint16
	first  *[8]byte
}

// returnConstant is BPF_RET|BPF_K; its operand is the number of bytes kept of the packet.
const returnConstant = 0x06

// DropIncoming makes the kernel drop every packet received for a socket.
func DropIncoming(socket syscall.RawConn) error {
	var keepNothing [8]byte
	binary.NativeEndian.PutUint16(keepNothing[:], returnConstant)
	filter := packetFilter{length: 1, first: &keepNothing}
	return setSocketOption(socket, soAttachFilter, unsafe.Pointer(&filter), unsafe.Sizeof(filter))
}

// AcceptIncoming ends the effect of DropIncoming.
func AcceptIncoming(socket syscall.RawConn) error {
	var ignored int32
	return setSocketOption(socket, soDetachFilter, unsafe.Pointer(&ignored), unsafe.Sizeof(ignored))
}

func setSocketOption(socket syscall.RawConn, option uintptr, value unsafe.Pointer, length uintptr) error {
	var errno syscall.Errno
	err := socket.Control(func(descriptor uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_SETSOCKOPT, descriptor, syscall.SOL_SOCKET, option, uintptr(value), length, 0)
	})
	if err != nil {
		return err
	}
	if errno != 0 {
		return errno
	}
	return nil
}
