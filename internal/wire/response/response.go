// Package response reads the answers of HTTP/1 servers strictly, before the parser of net/http sees
// them.
//
// net/http takes any three digits for a status, and a blank before the colon for a part of a field's
// name, so that the field is not the one that it looks like: a length, or the chunks of a body. A
// server in trouble sends such answers. A Conn passes on an answer only if its status line and its
// fields are sound by RFC 9112, the status is one from 100 to 599, and one thing tells where the body
// ends. Names in any case, folded lines, lines that end with LF alone and statuses without a reason are
// sound. It also passes on no bytes that follow an answer until the next one is expected.
//
// All readers of answers use it: package http1, and through a Transport the clients of net/http.
//
// # Memory
//
// A head has at most MaxHeadBytes, with the interim answers before it. What it takes, beyond a few
// KiB that are part of any connection, is reserved while it is read and until the answer is no longer
// used.
//
// # Usage
//
//	conn := response.NewConn(netConn, budget)
//	conn.Expect(http.MethodGet)
//	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
//
//	client := &http.Client{Transport: response.NewTransport(&http.Transport{}, response.Limits{Heads: budget})}
package response
