//go:build !linux

package witness

import (
	"net"
	"time"
)

// NewDialer returns a dialer whose idle connections fail within seconds after
// the network path to the peer is lost.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	}
}
