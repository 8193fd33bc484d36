package meter

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// RecordRequest asks for the record of an attempt.
type RecordRequest struct {
	Attempt identifier.Attempt
	// From is a meter that was taken over; if it owns the record, the record passes to the asking meter.
	From identifier.Node
}

// Query is what a meter asks of the agent that keeps its records. It is immutable.
type Query struct {
	// Owner is the asking meter.
	Owner identifier.Node
	// Confirm names attempts of requests whose count is stored; the agent drops their records.
	Confirm []identifier.Attempt
	Want    []RecordRequest
	// Of asks for the records of all attempts that this meter's entry sent, whoever owns them now.
	Of identifier.Node
	// Owners asks for the meters that have records.
	Owners bool
}

// Reply answers a Query.
type Reply struct {
	Records []Record
	Owners  []identifier.Node
	// Running names the requests of the meter Of that are running at the agent.
	Running []identifier.Request
}

// Agents reaches the agents by address. A false second result means that the agent may not have got the query.
type Agents interface {
	Usage(ctx context.Context, agent string, q Query) (Reply, bool)
}

func (q Query) withConfirm(owner identifier.Node, a identifier.Attempt) Query {
	q.Owner, q.Confirm = owner, append(q.Confirm, a)
	return q
}

func (q Query) withWant(owner identifier.Node, w RecordRequest) Query {
	q.Owner, q.Want = owner, append(q.Want, w)
	return q
}
