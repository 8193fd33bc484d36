package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// PeakMemory returns the peak of the memory of a node's process since its start, in bytes; zero if it does not run.
func (n *Node) PeakMemory() int64 {
	folders, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		return 0
	}
	parent := fmt.Sprintf("PPid:\t%d\n", os.Getpid())
	for _, folder := range folders {
		status, err := os.ReadFile(filepath.Join(folder, "status")) //nolint:gosec // the status of a process that this one started
		if err != nil || !strings.Contains(string(status), parent) {
			continue
		}
		environment, err := os.ReadFile(filepath.Join(folder, "environ")) //nolint:gosec // as above
		if err != nil || !strings.Contains(string(environment), n.settings) {
			continue
		}
		for line := range strings.Lines(string(status)) {
			if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
				if err == nil {
					return kilobytes << 10
				}
			}
		}
	}
	return 0
}
