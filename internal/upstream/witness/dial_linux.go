package witness

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, see tcp(7).
	tcpUserTimeout = 0x12
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	unackedTimeout = 3 * time.Second
)

// NewDialer returns a dialer whose connections fail within seconds after the
// network path to the peer is lost. Keep-alives detect this on idle connections,
// TCP_USER_TIMEOUT also while sent bytes are unacknowledged.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
}
