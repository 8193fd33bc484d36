package meter

import (
	"strconv"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Line is the usage of one team that a window reports. Origin is the window in which the work ended; in a correction it
// is an earlier one.
type Line struct {
	Team    identifier.Team
	Origin  Window
	Figures Figures
}

// WindowUsage is what one node has counted into one window so far, as it is stored. It is immutable.
type WindowUsage struct {
	Node   identifier.Node
	Window Window
	// Seq rises with each write of the node, so that no two values of a key are alike.
	Seq   uint64
	Lines []Line
	// Requests are counted in Lines while an agent may still keep their records. Whoever takes over the node's records
	// leaves these out.
	Requests []identifier.Request
}

// Watermark says how far the windows have come in one respect: Last and all windows before it.
type Watermark struct {
	Last Window
	// Fence is the number of the term that wrote the mark; with Last and Part it makes each mark unlike any other.
	Fence identifier.Fence
	// Part numbers the writes for the window after Last when there are several.
	Part int
}

// Codec is the stored form of the values.
type Codec interface {
	EncodeWindowUsage(v WindowUsage) []byte
	DecodeWindowUsage(data []byte) (WindowUsage, error)
	EncodeWatermark(m Watermark) []byte
	DecodeWatermark(data []byte) (Watermark, error)
}

// Keys of the key-value service.
const (
	// ValuePrefix is the prefix of the values of all windows.
	ValuePrefix = "/usage/"
	// ClosedKey holds the Mark of the windows that take no more counts. Each write of a count is guarded by it.
	ClosedKey = ValuePrefix + "closed"
	// DoneKey holds the Mark of the windows whose reports are all confirmed. It is apart from ClosedKey so that a
	// confirmation does not disturb the nodes' writes.
	DoneKey = ValuePrefix + "done"
	// TidiedKey holds the Mark of the windows whose values and seals are deleted.
	TidiedKey = ValuePrefix + "tidied"
	// MeterPrefix holds one key for each meter; a meter whose key changes or goes has been taken over.
	MeterPrefix = "/meter/"
)

// Prefix returns the prefix of the values of a window.
func Prefix(w Window) string { return ValuePrefix + strconv.FormatInt(int64(w), 10) + "/" }

// Key returns the key of a node's value for a window.
func Key(w Window, n identifier.Node) string { return Prefix(w) + string(n) }
