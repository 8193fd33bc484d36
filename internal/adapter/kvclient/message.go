package kvclient

import "github.com/mimosalb/mimosalb/internal/storer"

// The messages of the etcd v3 JSON protocol with the fields that this package uses. Bytes are encoded in base64,
// and 64-bit integers as strings.

type rangeRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end,omitempty"`
	// MinModRevision omits keys that were last changed before this revision.
	MinModRevision int64 `json:"min_mod_revision,omitempty,string"`
}

type keyValue struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value"`
	Changed int64  `json:"mod_revision,string"`
}

func (kv keyValue) entry() storer.Entry {
	return storer.Entry{Key: string(kv.Key), Value: kv.Value, Changed: kv.Changed}
}

type rangeReply struct {
	KVs []keyValue `json:"kvs"`
}

type compare struct {
	Key     []byte `json:"key"`
	Target  string `json:"target"`
	Result  string `json:"result"`
	Changed int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnReply struct {
	Succeeded bool `json:"succeeded"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseReply struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type watchCreate struct {
	Key []byte `json:"key"`
	// Start is the first revision whose events are sent.
	Start int64 `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchReply struct {
	Result struct {
		Events []struct {
			KV keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}
