// Package kvclient calls the platform's key-value service over the etcd v3 JSON protocol.
package kvclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// maxReplyBytes limits a reply. A value takes up to 1 MB plus its base64 overhead, and a list holds many values.
const maxReplyBytes = 64 << 20

// maxIdleConnections is the number of unused connections to the key-value service that are kept open.
const maxIdleConnections = 16

// driver implements storer.Driver over HTTP.
type driver struct {
	address string
	client  *http.Client
}

// NewDriver returns the driver of the key-value service at address, such as http://127.0.0.1:2379.
// reports are called for answers with an invalid status.
func NewDriver(address string, reports ...inspector.Report) storer.Driver {
	t := inspector.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections}, reports...)
	return &driver{address: address, client: &http.Client{Transport: t}}
}

func (d *driver) Get(ctx context.Context, key string) (storer.Entry, storer.Outcome) {
	var reply rangeReply
	out := d.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &reply)
	if out != storer.Applied || len(reply.KVs) == 0 {
		return storer.Entry{Key: key}, readOutcome(out)
	}
	return reply.KVs[0].entry(), storer.Applied
}

func (d *driver) GetIfChanged(ctx context.Context, key string, after int64) (storer.Entry, storer.Outcome) {
	var reply rangeReply
	out := d.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key), MinModRevision: after + 1}, &reply)
	if out != storer.Applied || len(reply.KVs) == 0 {
		return storer.Entry{Key: key}, readOutcome(out)
	}
	return reply.KVs[0].entry(), storer.Applied
}

func (d *driver) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	var reply rangeReply
	out := d.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(prefix), End: prefixEnd(prefix)}, &reply)
	entries := make([]storer.Entry, 0, len(reply.KVs))
	for _, kv := range reply.KVs {
		entries = append(entries, kv.entry())
	}
	return entries, readOutcome(out)
}

func (d *driver) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	req := txnRequest{}
	for _, g := range t.Guards {
		req.Compare = append(req.Compare, compare{Key: []byte(g.Key), Target: "MOD", Result: "EQUAL", Changed: g.Changed})
	}
	for _, p := range t.Puts {
		req.Success = append(req.Success, operation{Put: &putRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}})
	}
	for _, k := range t.Deletes {
		req.Success = append(req.Success, operation{Delete: &rangeRequest{Key: []byte(k)}})
	}
	var reply txnReply
	out := d.call(ctx, "/v3/kv/txn", req, &reply)
	if out == storer.Applied && !reply.Succeeded {
		return storer.Conflict
	}
	return out
}

func (d *driver) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, storer.Outcome) {
	var reply leaseReply
	seconds := int64((ttl + time.Second - 1) / time.Second)
	out := d.call(ctx, "/v3/lease/grant", leaseRequest{TTL: seconds}, &reply)
	return storer.Lease(reply.ID), out
}

func (d *driver) KeepAlive(ctx context.Context, l storer.Lease) storer.Outcome {
	var reply struct {
		Result leaseReply `json:"result"`
	}
	out := d.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64(l)}, &reply)
	if out == storer.Applied && reply.Result.TTL <= 0 {
		return storer.Conflict
	}
	return out
}

func (d *driver) Revoke(ctx context.Context, l storer.Lease) storer.Outcome {
	return d.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64(l)}, &struct{}{})
}

func (d *driver) Watch(ctx context.Context, key string, after int64, changed func(storer.Entry)) storer.Outcome {
	resp, err := d.post(ctx, "/v3/watch", watchRequest{Create: watchCreate{Key: []byte(key), Start: after + 1}})
	if err != nil {
		return storer.Unavailable
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return storer.Unavailable
	}
	dec := json.NewDecoder(resp.Body)
	for {
		var reply watchReply
		if err := dec.Decode(&reply); err != nil {
			return storer.Unavailable
		}
		for _, e := range reply.Result.Events {
			changed(e.KV.entry())
		}
	}
}

// call posts a request, decodes its reply and maps the status code to an outcome. An incomplete or invalid reply counts
// as Unknown.
func (d *driver) call(ctx context.Context, path string, req, reply any) storer.Outcome {
	resp, err := d.post(ctx, path, req)
	if err != nil {
		return sendOutcome(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	switch {
	case err != nil:
		return storer.Unknown
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return storer.Unavailable
	case resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusPreconditionFailed:
		return storer.Conflict
	case resp.StatusCode != http.StatusOK:
		return storer.Unknown
	case json.Unmarshal(body, reply) != nil:
		return storer.Unknown
	default:
		return storer.Applied
	}
}

func (d *driver) post(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", path, err)
	}
	// Without GetBody the transport can't resend the request by itself.
	r.GetBody = nil
	resp, err := d.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("post %s: %w", path, err)
	}
	return resp, nil
}

// sendOutcome returns the outcome of a request that failed with err: Unavailable if no connection was established,
// else Unknown, because the service may have executed it.
func sendOutcome(err error) storer.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return storer.Unavailable
	}
	return storer.Unknown
}

// readOutcome returns Unavailable for Conflict, which a read has no guard for, and every other outcome unchanged.
func readOutcome(o storer.Outcome) storer.Outcome {
	if o == storer.Conflict {
		return storer.Unavailable
	}
	return o
}

// prefixEnd returns the exclusive end of the range of keys that start with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
