package wire

import (
	"bufio"
	"net"

	"storj.io/drpc/drpcwire"
)

// peerConn is a connection of a peer.
type peerConn struct {
	net.Conn
	frames frameReader
}

func newPeerConn(c net.Conn) *peerConn {
	return &peerConn{Conn: c, frames: frameReader{
		in: bufio.NewReaderSize(c, readBufferBytes), onBegin: func() {}, onData: func(drpcwire.Kind, int) error { return nil }, onPacket: func(drpcwire.Kind, int) {},
	}}
}

// Read reads frames; it implements drpc.Transport.
func (c *peerConn) Read(p []byte) (int, error) { return c.frames.read(p) }
