package witness

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7).
	tcpUserTimeout = 0x12
	// unackedLimit ends a connection whose peer has not acknowledged sent bytes.
	unackedLimit = 3 * time.Second
)

// NewDialer returns a dialer whose connections end soon after the path to the
// peer is lost, also while a request waits on them: unacknowledged bytes and
// unanswered keep-alives both count.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
