package guardedconn

import (
	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// freeMessage is the size of a message that the memory of its connection includes.
	freeMessage = 8 << 10
	// messageFactor is what a message takes while it is read, in its size: encoding/gob reads it whole, in a buffer that grows.
	messageFactor = 2
	// CallBytes is what a call takes that is not answered yet: its goroutine, its arguments and its reply.
	CallBytes identifier.Bytes = 8 << 10
)

// BeginMessages makes the connection carry messages instead of requests of HTTP.
func (c *Conn) BeginMessages() {
	c.inMessages = true
	c.Account.Enter(guarder.Reading)
}

// EndMessage notes that a whole message was read. Known is set if it is a call of this system.
func (c *Conn) EndMessage(known bool) {
	c.Account.Release(c.reserved)
	c.reserved, c.messageBytes = 0, 0
	if known {
		c.Account.Know()
	}
	c.Account.Enter(guarder.Idle)
}

// reserveMessage reserves the memory for the next n bytes of a message.
func (c *Conn) reserveMessage(n int) bool {
	c.messageBytes += n
	if limit := c.Account.MaxMessage(); limit > 0 && identifier.Bytes(c.messageBytes) > limit {
		return false
	}
	need := identifier.Bytes(max(c.messageBytes-freeMessage, 0) * messageFactor)
	if need <= c.reserved {
		return true
	}
	// A growing step keeps the number of reservations small.
	step := max(need-c.reserved, headStep, c.reserved/2)
	if !c.Account.Reserve(step) {
		return false
	}
	c.reserved += step
	return true
}
