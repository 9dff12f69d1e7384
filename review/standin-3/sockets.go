package main

import (
	"net"
	"syscall"
	"time"
)

const (
	// ethernetSegment is the segment size on a network of Ethernet frames. That of the loopback device, and with it the
	// buffers of the kernel, is 45 times as large.
	ethernetSegment = 1448
	// receiveBuffer is the size of the receive buffers.
	receiveBuffer = 32 << 10
)

// ethernet makes a socket use the segments of an Ethernet and a fixed receive buffer.
func ethernet(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment); err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

var (
	ethernetDialer   = net.Dialer{Timeout: time.Second, Control: ethernet}
	ethernetListener = net.ListenConfig{Control: ethernet}
)
