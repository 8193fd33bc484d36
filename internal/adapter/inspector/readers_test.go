package inspector_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/commander"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/answerer"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// reader makes a call at an address with a message of about size bytes if it has one, and returns what its caller is told.
type reader func(ctx context.Context, address string, size int) string

// soundReply is a sound answer with an empty object.
const soundReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// bodyFor returns the body of an answer that a reader understands. If the answer is broken, that of a model engine lacks the line which
// ends it; the others are whole as far as their syntax tells.
func bodyFor(name string, broken bool) string {
	const event = `data: {"output_ids":[1],"meta_info":{"id":"r/0","completion_tokens":1,"finish_reason":{"type":"length"}}}`
	switch {
	case name == "engine" && broken:
		return event + "\n\n"
	case name == "engine":
		return event + "\n\ndata: [DONE]\n\n"
	case name == "list of VMs":
		return "[]"
	default:
		return `{"success":true,"succeeded":true}`
	}
}

// readers are the clients of the product's own interfaces.
func readers(clock timer.Service) map[string]reader {
	const term = time.Minute
	orders := map[orderer.Outcome]string{
		orderer.Accepted: "accepted", orderer.Stale: "stale", orderer.Rejected: "rejected", orderer.Lost: "lost", orderer.Unsent: "unsent",
	}
	run := func(r interface {
		Run(ctx context.Context, id identifier.Attempt, call executor.Call, emit func(streamer.Piece)) streamer.Final
	}, ctx context.Context, call executor.Call,
	) string {
		pieces := 0
		f := r.Run(ctx, identifier.Attempt{Request: "r"}, call, func(streamer.Piece) { pieces++ })
		return fmt.Sprint(f.End, " ", f.Reason, " ", pieces)
	}
	return map[string]reader{
		"engine": func(ctx context.Context, address string, size int) string {
			return run(engineclient.NewEngine(address), ctx, executor.Call{Prompt: strings.Repeat("p", size), Limit: 1})
		},
		"service": func(ctx context.Context, address string, size int) string {
			return run(engineclient.NewService(address), ctx, executor.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, size)})
		},
		"engine order": func(ctx context.Context, address string, size int) string {
			out := engineclient.NewEngine(address).Apply(ctx, orderer.EngineOrder{Kind: orderer.LoadAdapter, Name: strings.Repeat("a", size)})
			return orders[out]
		},
		"weights": func(ctx context.Context, address string, _ int) string {
			_, ok := engineclient.NewOrigin(address).Chunk(ctx, updater.Manifest{Chunk: 100}, 0)
			return fmt.Sprint(ok)
		},
		"write": func(ctx context.Context, address string, size int) string {
			put := storer.Put{Key: "k", Value: make([]byte, size)}
			return kvclient.NewDriver(address).Commit(ctx, storer.Transaction{Puts: []storer.Put{put}}).String()
		},
		"read": func(ctx context.Context, address string, _ int) string {
			_, out := kvclient.NewDriver(address).Get(ctx, "k")
			return out.String()
		},
		"list of VMs": func(ctx context.Context, address string, _ int) string {
			_, err := platformclient.NewClient(address, clock).VMs(ctx)
			return fmt.Sprint(err == nil)
		},
		"usage": func(ctx context.Context, address string, size int) string {
			out := platformclient.NewClient(address, clock).Send(ctx, make([]byte, size), 1, clock.Monotonic()+term)
			return map[reporter.Outcome]string{reporter.Accepted: "accepted", reporter.Refused: "refused", reporter.Lost: "lost"}[out]
		},
		"order": func(ctx context.Context, address string, size int) string {
			o := orderer.Order{ID: strings.Repeat("i", size)}
			_, out := platformclient.NewOrders(platformclient.NewClient(address, clock), "r").Order(ctx, o, 1, clock.Monotonic()+term)
			return orders[out]
		},
		"trainer": func(ctx context.Context, address string, size int) string {
			second, err := answerer.NewServer(func(*http.Request, int) answerer.Answer { return answerer.Answer{Text: soundReply} })
			if err != nil {
				return err.Error()
			}
			defer second.Close()
			t, err := client.Open(ctx, []string{address, "http://" + second.Address()}, "key", client.Spec{Run: "r"})
			if err != nil {
				return err.Error()
			}
			_, err = t.Submit(ctx, []client.Prompt{{Text: strings.Repeat("p", size)}})
			return fmt.Sprintf("%v at entry %d", err == nil, 1+second.Requests())
		},
		"mimosactl reads": func(ctx context.Context, address string, _ int) string {
			return fmt.Sprint(commander.Run(ctx, []string{"--address", address, "get"}, io.Discard, io.Discard))
		},
		"mimosactl changes": func(ctx context.Context, address string, _ int) string {
			return fmt.Sprint(commander.Run(ctx, []string{"--address", address, "zone", "evacuate", "z"}, io.Discard, io.Discard))
		},
	}
}

// Guards against a broken answer that passes for a sound one, or that proves that nothing was done, at any client of the product's own
// interfaces, and against a sound one that is rejected. No client may send a message again by itself.
func TestOwnReaders(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	defer clock.Close()
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		// name begins with a mark if the answer is broken. The body follows the head, and %d stands for its length.
		name, head string
		early      bool
		end        answerer.End
	}{
		{"length", ok + "Content-Length: %d\r\n\r\n", false, answerer.Keep},
		{"closed", ok + "\r\n", false, answerer.Close},
		{"closed, early", ok + "\r\n", true, answerer.Close},
		{"! reset", ok + "\r\n", false, answerer.Reset},
		{"! reset, early", ok + "\r\n", true, answerer.Reset},
		{"! length, cut", ok + "Content-Length: 1%d\r\n\r\n", false, answerer.Close},
		{"! status 000", "HTTP/1.1 000 Zero\r\nContent-Length: %d\r\n\r\n", false, answerer.Keep},
		{"! blank in name", ok + "B C: 1\r\nContent-Length: %d\r\n\r\n", false, answerer.Keep},
		{"! blank before name", ok + "A: 1\r\n B: 1\r\nContent-Length: %d\r\n\r\n", false, answerer.Keep},
		{"! control in name", ok + "B\x01: 1\r\nContent-Length: %d\r\n\r\n", false, answerer.Keep},
	}
	all := readers(clock)
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		for _, tc := range cases {
			size, rounds := 10, 1
			if tc.early {
				size, rounds = 4<<20, 4
			}
			body := bodyFor(name, strings.HasPrefix(tc.name, "!"))
			answer := answerer.Answer{Text: strings.Replace(tc.head, "%d", strconv.Itoa(len(body)), 1) + body, Early: tc.early, End: tc.end}
			told := make(map[string]bool)
			for range rounds {
				server, err := answerer.NewServer(func(r *http.Request, _ int) answerer.Answer {
					switch r.URL.Path {
					case "/v1/runs":
						return answerer.Answer{Text: "HTTP/1.1 204 No Content\r\n\r\n"}
					case "/v1/runs/r":
						return answerer.Answer{Text: soundReply}
					default:
						return answer
					}
				})
				c.Assert(err, qt.IsNil)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				told[all[name](ctx, "http://"+server.Address(), size)] = true
				cancel()
				if name != "trainer" {
					c.Check(server.Requests(), qt.Equals, 1, qt.Commentf("%s, %s", name, tc.name))
				}
				server.Close()
			}
			fmt.Fprintf(&out, "%-18s %-20s %s\n", name, tc.name, strings.Join(slices.Sorted(maps.Keys(told)), " or "))
		}
	}
	goldie.New(t).Assert(t, "readers", []byte(out.String()))
}
