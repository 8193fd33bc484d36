package meter

import "time"

// Window numbers the windows of a deployment from the Unix epoch on.
type Window int64

// DefaultLength is the length of a window when the settings give none.
const DefaultLength = time.Minute

// Calendar maps times to windows. The zero value has windows of DefaultLength.
type Calendar struct {
	Length time.Duration
}

// Window returns the window that a time lies in.
func (c Calendar) Window(at time.Time) Window { return Window(at.UnixNano() / int64(c.length())) }

// End returns the end of a window; it is the start of the next one.
func (c Calendar) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(c.length())).UTC() }

func (c Calendar) length() time.Duration {
	if c.Length <= 0 {
		return DefaultLength
	}
	return c.Length
}
