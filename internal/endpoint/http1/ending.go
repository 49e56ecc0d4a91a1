package http1

import "net/http"

// Ending is how an answer shows where it ends.
type Ending int

const (
	// EndsWithConnection means that the endpoint closes the connection, which does not tell an
	// answer that was cut off from a complete one. The endpoint is asked then; see ConfirmEnd.
	EndsWithConnection Ending = iota
	// EndsByLength means that the answer has a content length.
	EndsByLength
	// EndsByChunks means that the answer is sent in chunks, of which the last one is empty.
	EndsByChunks
	// EndsByPeer means that a peer passes the answer on and tells its end, but not how the
	// endpoint's answer shows it.
	EndsByPeer
)

// String returns the name of the ending for logs.
func (e Ending) String() string {
	switch e {
	case EndsByLength:
		return "Length"
	case EndsByChunks:
		return "Chunks"
	case EndsByPeer:
		return "Peer"
	case EndsWithConnection:
	}
	return "Connection"
}

// IsExplicit reports whether the endpoint tells a complete answer from one that was cut off.
func (e Ending) IsExplicit() bool {
	return e == EndsByLength || e == EndsByChunks
}

// endingOf returns how a response shows its end.
func endingOf(response *http.Response) Ending {
	switch {
	case response.ContentLength >= 0:
		return EndsByLength
	case len(response.TransferEncoding) > 0:
		return EndsByChunks
	}
	return EndsWithConnection
}
