package guardedconn

import (
	"net/http"

	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Request is what a handler tells of its request. The zero value does nothing and grants everything.
type Request struct {
	conn *Conn
}

// Of returns what the handler of a request tells of it.
func Of(r *http.Request) Request {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return Request{conn: c}
}

// Know records that the request has a route and a valid key.
func (q Request) Know() {
	if q.conn != nil {
		q.conn.Account.Know()
	}
}

// Complete records that the body of the request is read.
func (q Request) Complete() {
	if q.conn != nil {
		q.conn.Account.Enter(guarder.Working)
	}
}

// Reserve reserves n bytes until the end of the request and waits until they are free. It returns false if they are not free in time.
func (q Request) Reserve(n identifier.Bytes) bool {
	if q.conn == nil {
		return true
	}
	if !q.conn.Account.Reserve(n) {
		return false
	}
	q.conn.reserved += n
	return true
}

// SetLarge records whether the request holds memory that is reserved elsewhere.
func (q Request) SetLarge(large bool) {
	if q.conn != nil {
		q.conn.Account.SetLarge(large)
	}
}

// AwaitLarge records that the request waits for memory that is reserved elsewhere, until the returned function is called.
func (q Request) AwaitLarge() (done func()) {
	if q.conn == nil {
		return func() {}
	}
	return q.conn.Account.AwaitLarge()
}
