package store

// The messages of the etcd v3 JSON protocol that the stand-in serves.

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	// MinModRevision excludes keys that were last changed before this revision.
	MinModRevision int64 `json:"min_mod_revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeReply struct {
	KVs []keyValue `json:"kvs"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
		Delete *rangeRequest `json:"request_delete_range"`
	} `json:"success"`
}

type txnReply struct {
	Succeeded bool `json:"succeeded"`
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveReply struct {
	Result leaseMessage `json:"result"`
}

type watchRequest struct {
	Create struct {
		Key []byte `json:"key"`
		// StartRevision is the revision of the first change to send. Zero sends only changes made after the watch started.
		StartRevision int64 `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	KV keyValue `json:"kv"`
}

type watchResult struct {
	Events []watchEvent `json:"events"`
}

type watchReply struct {
	Result watchResult `json:"result"`
}
