// Command regression plays the standard days of the users' deployments with the users' bench and compares the result with
// the last one kept in the journal.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
)

// sites are the deployments of the regression runs, as paths of their files without the extension.
var sites = []string{
	"further/kalnins-casting", "further-grown/kalnins-casting-grown", "large/lumentra-rl-large", "grown/lumentra-rl-grown",
	"grown/mlrs-rollout-grown",
}

func main() {
	app := kingpin.New("regression", "Plays the standard days of the users' deployments and compares them with the journal.")
	bench := app.Flag("bench", "path of the users' bench").Required().ExistingFile()
	folder := app.Flag("sites", "folder with the site files").Required().ExistingDir()
	journal := app.Flag("journal", "folder of the journal").Default("journal").ExistingDir()
	jobs := app.Flag("jobs", "days played at a time").Default("5").String()
	compareOnly := app.Flag("compare", "compare the last two entries of each site without playing").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if !*compareOnly {
		for _, site := range sites {
			app.FatalIfError(play(*bench, filepath.Join(*folder, site+".toml"), *jobs), "%s", site)
		}
	}
	entries, err := readEntries(*journal)
	app.FatalIfError(err, "read the journal")
	fell := false
	for _, site := range sites {
		table, dropped := compare(filepath.Base(site), entries)
		fmt.Print(table)
		fell = fell || dropped
	}
	if fell {
		os.Exit(1)
	}
}

// play plays the standard days of one site. The bench writes its own entry to the journal.
func play(bench, site, jobs string) error {
	cmd := exec.Command(bench, "score", site, "--jobs", jobs, "--why", "regression run") //nolint:gosec,noctx // the developer names the program
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("play the days: %w", err)
	}
	return nil
}
