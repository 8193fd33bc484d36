// Command bench runs the benchmarks that the documents quote, prints one table and writes it as JSON.
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
	out := kingpin.Flag("out", "File for the JSON form; none when empty.").String()
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
		return fmt.Errorf("run: %w", err)
	}
	if out != "" {
		f, err := os.Create(out) //nolint:gosec // the developer names the file
		if err != nil {
			return fmt.Errorf("create: %w", err)
		}
		defer func() { _ = f.Close() }()
		if err := bencher.WriteJSON(f, figures); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return bencher.WriteTable(os.Stdout, figures)
}
