package codec_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
)

// Guards against stored jobs that processes of another build can't read, in either direction: their form is the JSON form of the
// whole job, however it is written and read.
func TestSpecsAreReadByEarlierBuilds(t *testing.T) {
	c := qt.New(t)
	full := batcher.Spec{
		ID: `a"Items":null}`, Team: "t", Host: "h", Path: "/p", Step: 3, Model: "m", Least: 4, Desired: 1, Submitted: time.Unix(5, 6).UTC(), Revision: 7,
		Items: []batcher.Item{
			{ID: "i1", Group: "g", Path: "/p/1", Header: map[string]string{"A": "b"}, Body: []byte("body\x00\xff"), Hint: 9},
			{ID: "i2", Group: "g", Score: batcher.ScoreCall{ID: "s", Host: "h", Path: "/s", Body: []byte("score")}},
		},
	}
	none := full
	none.Items = []batcher.Item{}
	for _, s := range []batcher.Spec{full, none} {
		data, err := codec.Jobs{}.EncodeSpec(s)
		c.Assert(err, qt.IsNil)
		unpacked, err := gzip.NewReader(bytes.NewReader(data))
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(unpacked)
		c.Assert(err, qt.IsNil)
		whole, err := json.Marshal(s)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Equals, string(whole))
		read, err := codec.Jobs{}.DecodeSpec(data)
		c.Assert(err, qt.IsNil)
		c.Assert(len(read.Items), qt.Equals, len(s.Items))
		if len(s.Items) > 0 {
			c.Assert(read, qt.DeepEquals, s)
		}
	}
}
