// Command bench runs the benchmarks whose figures the documentation quotes, prints the figures as a table and can write
// them to a file as JSON.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/bencher"
)

func main() {
	only := kingpin.Flag("only", "Run the benchmarks whose name contains this text.").String()
	out := kingpin.Flag("out", "Write the figures as JSON to this file. If empty, no file is written.").String()
	kingpin.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, *only, *out)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, only, out string) error {
	figures, err := bencher.Run(ctx, func(name string) bool { return strings.Contains(name, only) }, os.Stderr)
	if err != nil {
		return fmt.Errorf("run benchmarks: %w", err)
	}
	if out != "" {
		f, err := os.Create(out) //nolint:gosec // the developer names the file
		if err != nil {
			return fmt.Errorf("create output file: %w", err)
		}
		defer func() { _ = f.Close() }()
		if err := bencher.WriteJSON(f, figures); err != nil {
			return fmt.Errorf("write figures to %s: %w", out, err)
		}
	}
	return bencher.WriteTable(os.Stdout, figures)
}
