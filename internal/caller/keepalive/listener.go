package keepalive

import "net"

// listener accepts the connections of a Server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted, l.server), nil
}
