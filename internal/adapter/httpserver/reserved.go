package httpserver

import (
	"errors"
	"io"
	"net/http"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// freeBodyBytes is the size up to which a body is read without a reservation; the memory of its connection includes it.
	freeBodyBytes = 4 << 10
	// bodyFactor is what a body takes, in its size: the body and what is decoded from it.
	bodyFactor = 2
	// maxBodyBytes is bodyLimit as a number.
	maxBodyBytes = 8 << 20
	// reasonNoRoom is the Problem.Reason for a body for which there is no memory.
	reasonNoRoom = "no-room"
)

// readReserved reads a body and reserves its memory until the end of the request. It returns false if there is none.
func readReserved(r *http.Request) (body []byte, room bool, err error) {
	q := guardedconn.Of(r)
	size := r.ContentLength
	if size > freeBodyBytes && size <= maxBodyBytes && !q.Reserve(identifier.Bytes(size)*bodyFactor) {
		return nil, false, nil
	}
	body = make([]byte, 0, max(min(size+1, maxBodyBytes+1), freeBodyBytes))
	for {
		if len(body) == cap(body) {
			if !q.Reserve(identifier.Bytes(cap(body)) * bodyFactor) {
				return nil, false, nil
			}
			body = append(make([]byte, 0, cap(body)*bodyFactor), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			q.Complete()
			return body, true, nil
		case err != nil:
			return body, true, err //nolint:wrapcheck // the caller inspects the error
		}
	}
}
