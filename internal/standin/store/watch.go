package store

import (
	"encoding/json"
	"net/http"
)

// watchBuffer is the number of buffered events for one watcher.
const watchBuffer = 64

// watch streams the changes of one key until the client disconnects or the watcher's buffer overflows.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	var q watchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	events := make(chan event, watchBuffer)
	s.mu.Lock()
	s.watchers[events] = string(q.Create.Key)
	// The stand-in keeps no history. It sends only the last of the changes since the start revision.
	if r, ok := s.keys[string(q.Create.Key)]; ok && q.Create.StartRevision > 0 && r.modRevision >= q.Create.StartRevision {
		events <- event{key: string(q.Create.Key), record: r}
	}
	s.mu.Unlock()
	defer s.unwatch(events)

	w.Header().Set("Content-Type", "application/json")
	flush := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	if enc.Encode(watchReply{}) != nil || flush.Flush() != nil {
		return
	}
	for {
		select {
		case <-r.Context().Done():
			return
		case e, ok := <-events:
			if !ok || enc.Encode(newWatchReply(e)) != nil || flush.Flush() != nil {
				return
			}
		}
	}
}

func (s *Store) unwatch(events chan event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, events)
}

func newWatchReply(e event) watchReply {
	kv := keyValue{Key: []byte(e.key), Value: e.record.value, ModRevision: e.record.modRevision}
	return watchReply{Result: watchResult{Events: []watchEvent{{KV: kv}}}}
}
