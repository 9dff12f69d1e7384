// Package cvtcpstate tells how the peer of a TCP connection has ended it.
package cvtcpstate

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// CheckEnd returns an error unless the peer, from which all input was read, has closed the connection in order and has
// received all that was written. The end of the input alone doesn't show it: the kernel reports a reset to only one call,
// which may be a write, and a reset behind the end of the input to none.
func CheckEnd(conn net.Conn) error {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return errors.Errorf("%T is no connection of the kernel", conn)
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var info *unix.TCPInfo
	var infoErr error
	getInfo := func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }
	if err := control.Control(getInfo); err != nil {
		return err
	}
	// A system without TCP_INFO tells no more than the results of reads and writes.
	if infoErr != nil || info.State == 0 {
		return nil
	}
	return checkInfo(info)
}

func checkInfo(info *unix.TCPInfo) error {
	if info.State != unix.BPF_TCP_CLOSE_WAIT {
		return errors.New("the connection was reset")
	}
	if info.Unacked > 0 || info.Notsent_bytes > 0 {
		return errors.New("the peer has closed the connection before it received everything")
	}
	return nil
}
