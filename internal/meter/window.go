package meter

import "time"

// Window is the number of a metering window; window 0 starts at the Unix epoch.
type Window int64

// DefaultLength is the length of a window if the settings do not set one.
const DefaultLength = time.Minute

// Calendar maps times to windows. The zero value uses windows of DefaultLength.
type Calendar struct {
	Length time.Duration
}

// Window returns the window that contains a time.
func (c Calendar) Window(at time.Time) Window { return Window(at.UnixNano() / int64(c.length())) }

// End returns the end of a window, which is the start of the next one.
func (c Calendar) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(c.length())).UTC() }

func (c Calendar) length() time.Duration {
	if c.Length <= 0 {
		return DefaultLength
	}
	return c.Length
}
