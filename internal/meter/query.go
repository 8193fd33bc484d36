package meter

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// RecordRequest requests the record of an attempt.
type RecordRequest struct {
	Attempt identifier.Attempt
	// From is a meter that was taken over; if it owns the record, the requesting meter becomes the owner.
	From identifier.Node
}

// Query is a query of a meter to an agent that holds records. It is immutable.
type Query struct {
	// Owner is the meter that sends the query.
	Owner identifier.Node
	// Confirm lists attempts of requests whose count is stored; the agent drops their records.
	Confirm []identifier.Attempt
	Want    []RecordRequest
	// Of requests the records of all attempts that this meter's entry sent, whichever meter owns them now.
	Of identifier.Node
	// Owners requests the list of the meters that have records.
	Owners bool
}

// Reply answers a Query.
type Reply struct {
	Records []Record
	Owners  []identifier.Node
	// Running lists the requests of the meter Of that are running at the agent.
	Running []identifier.Request
}

// Agents sends queries to agents by address. A false second result means that the agent may not have received the
// query.
type Agents interface {
	Usage(ctx context.Context, agent string, q Query) (Reply, bool)
}

func (q Query) withConfirm(owner identifier.Node, a identifier.Attempt) Query {
	q.Owner, q.Confirm = owner, append(q.Confirm, a)
	return q
}

func (q Query) withRequest(owner identifier.Node, w RecordRequest) Query {
	q.Owner, q.Want = owner, append(q.Want, w)
	return q
}
