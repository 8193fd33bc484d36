package meter

import (
	"strconv"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Line is the usage of one team that a window reports. Origin is the window in which the requests ended; in a
// correction it is an earlier window.
type Line struct {
	Team    identifier.Team
	Origin  Window
	Figures Figures
}

// WindowUsage holds the counts of one node for one window, as stored. It is immutable.
type WindowUsage struct {
	Node   identifier.Node
	Window Window
	// Seq increases with each write of the node, so that no two values of a key are equal.
	Seq   uint64
	Lines []Line
	// Requests lists the requests that Lines count and whose records an agent may still hold. A process that takes over
	// the node's records must not count them again.
	Requests []identifier.Request
}

// Watermark records the last window that a processing stage has completed; all windows before Last are complete too.
type Watermark struct {
	Last Window
	// Fence is the number of the term that wrote the watermark; with Last and Part it makes each stored value unique.
	Fence identifier.Fence
	// Part numbers the writes for the window after Last if there are several.
	Part int
}

// Codec encodes and decodes stored values.
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
	// ClosedKey holds the Watermark of the windows that accept no more counts. Each write of counts is guarded by it.
	ClosedKey = ValuePrefix + "closed"
	// ConfirmedKey holds the Watermark of the windows whose reports are all confirmed. It is separate from ClosedKey so that a
	// confirmation does not cause conflicts with the nodes' writes.
	ConfirmedKey = ValuePrefix + "done"
	// PrunedKey holds the Watermark of the windows whose values and sealed reports are deleted.
	PrunedKey = ValuePrefix + "tidied"
	// MeterPrefix holds one key for each meter; a meter whose key changes or is deleted has been taken over.
	MeterPrefix = "/meter/"
)

// Prefix returns the prefix of the values of a window.
func Prefix(w Window) string { return ValuePrefix + strconv.FormatInt(int64(w), 10) + "/" }

// Key returns the key of a node's value for a window.
func Key(w Window, n identifier.Node) string { return Prefix(w) + string(n) }
