// Package twsocket sets after which silence a TCP connection counts as dead, and how much the system holds for it.
package twsocket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config configures a Liveness.
type Config struct {
	// ProbeSeconds is the time without packets after which the first keep-alive probe is sent, and the interval of the
	// next ones.
	ProbeSeconds int
	// DeadMillis is the time without an acknowledgement after which the connection is dead.
	DeadMillis int
	// SendBufferBytes bounds what the system holds to be sent to a peer that doesn't read, and ReceiveBufferBytes what it holds
	// of what was received and not read; 0 leaves the choice to the system, which may hold several megabytes.
	SendBufferBytes, ReceiveBufferBytes int
}

// Liveness is the rule by which connections count as dead.
//
// TCP_USER_TIMEOUT bounds the time for which data may be unacknowledged. Where it is set it also decides when keep-alive
// probes give up, whatever their count, so that both are set together.
type Liveness struct{ config Config }

// New returns a rule.
func New(config Config) Liveness { return Liveness{config: config} }

// Control sets the time after which the connection is dead, and the sizes of its buffers; it is used as the Control function of a net.Dialer or a
// net.ListenConfig, whose connections inherit it.
func (l Liveness) Control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, l.config.DeadMillis),
			setBuffer(fd, unix.SO_SNDBUF, l.config.SendBufferBytes),
			setBuffer(fd, unix.SO_RCVBUF, l.config.ReceiveBufferBytes),
		)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// setBuffer sets the size of a socket's buffer unless that is 0.
func setBuffer(fd uintptr, option, bytes int) error {
	if bytes == 0 {
		return nil
	}
	return unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes)
}

// KeepAlive returns the keep-alive probes of the connections.
func (l Liveness) KeepAlive() net.KeepAliveConfig {
	probe := time.Duration(l.config.ProbeSeconds) * time.Second
	return net.KeepAliveConfig{
		Enable: true, Idle: probe, Interval: probe, Count: max(l.config.DeadMillis/1000/l.config.ProbeSeconds, 1),
	}
}

// ListenConfig returns the configuration of listeners whose connections follow the rule.
func (l Liveness) ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: l.Control, KeepAliveConfig: l.KeepAlive()}
}
