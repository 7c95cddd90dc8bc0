package server

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size, in bytes, of the kernel's buffer for what a connection has received and the process has not read. The
// kernel doubles it for its own records, and may fill all of that with data; without a size it lets the buffer grow to megabytes.
// A machine's memory holds those of all connections.
const receiveBuffer = 16 << 10

// LimitReceiveBuffer limits the receive buffers of the connections that a listening socket accepts. It is a Control function
// of net.ListenConfig.
func LimitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
