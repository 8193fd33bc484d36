package commander

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// pathConfig is the route of the configuration document.
const pathConfig = "/v1/config"

// current returns the configuration in force.
func (c *client) current(ctx context.Context) (configurator.Document, error) {
	var form codec.Document
	if err := c.get(ctx, pathConfig, &form); err != nil {
		return configurator.Document{}, err
	}
	doc, err := form.Document()
	if err != nil {
		return doc, &Failure{Code: Failed, Text: fmt.Sprintf("%s: %v", pathConfig, err)}
	}
	return doc, nil
}

// edit changes the configuration in force. It reports what was changed.
func (c *client) edit(ctx context.Context, change func(configurator.Document) (configurator.Document, error)) (Listing, error) {
	seen, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	edited, err := change(seen)
	if err != nil {
		return Listing{}, err
	}
	return c.store(ctx, seen, edited, seen.Revision())
}

// store sends edited, which was made from revision base of what the operator saw.
func (c *client) store(ctx context.Context, seen, edited configurator.Document, base identifier.Revision) (Listing, error) {
	changes := configurator.Diff(seen, edited)
	if len(changes) == 0 && base == seen.Revision() && base > 0 {
		return accepted(seen, nil).WithNotes("nothing to change"), nil
	}
	r, err := c.send(ctx, http.MethodPut, pathConfig, strconv.FormatUint(uint64(base), 10), codec.FromDocument(edited))
	if err != nil {
		return Listing{}, err
	}
	switch r.status {
	case http.StatusOK:
		stored, err := r.document()
		if err != nil {
			return Listing{}, err
		}
		return accepted(stored, changes), nil
	case http.StatusConflict:
		return Listing{}, c.conflict(ctx, r, seen, base)
	default:
		return Listing{}, r.failure(pathConfig)
	}
}

// conflict tells what another edit changed since the operator looked.
func (c *client) conflict(ctx context.Context, r reply, seen configurator.Document, base identifier.Revision) error {
	var refusal struct {
		Document codec.Document `json:"document"`
	}
	if err := r.decode(pathConfig, &refusal); err != nil {
		return err
	}
	force, err := refusal.Document.Document()
	if err != nil {
		return &Failure{Code: Failed, Text: fmt.Sprintf("%s: %v", pathConfig, err)}
	}
	// The reply to a race within the store holds the document from before it; the entry may know a later one by now.
	if later, err := c.current(ctx); err == nil && later.Revision() > force.Revision() {
		force = later
	}
	lines := append([]string{
		fmt.Sprintf("another edit came first: the edit was made from revision %d, revision %d is in force", base, force.Revision()),
		"the difference from what you saw to what is in force:",
	}, diffLines(configurator.Diff(seen, force))...)
	return &Failure{Code: Conflict, Text: strings.Join(lines, "\n")}
}

func (r reply) document() (configurator.Document, error) {
	var form codec.Document
	if err := r.decode(pathConfig, &form); err != nil {
		return configurator.Document{}, err
	}
	doc, err := form.Document()
	if err != nil {
		return doc, &Failure{Code: Failed, Text: fmt.Sprintf("%s: %v", pathConfig, err)}
	}
	return doc, nil
}

// outcome is the form for programs of an accepted edit.
type outcome struct {
	Revision identifier.Revision `json:"revision"`
	Preset   configurator.Preset `json:"preset"`
	Changes  []string            `json:"changes"`
}

func accepted(d configurator.Document, changes []configurator.Change) Listing {
	lines := diffLines(changes)
	return Listing{}.
		WithNotes(lines...).
		WithNotes(fmt.Sprintf("revision %d is in force, preset %s", d.Revision(), d.Preset())).
		WithValue(outcome{Revision: d.Revision(), Preset: d.Preset(), Changes: lines})
}

// diffLines returns one line for each change.
func diffLines(changes []configurator.Change) []string {
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		switch {
		case c.Before == "":
			lines = append(lines, fmt.Sprintf("+ %s: %s", c.Field, c.After))
		case c.After == "":
			lines = append(lines, fmt.Sprintf("- %s: %s", c.Field, c.Before))
		default:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Before, c.After))
		}
	}
	return lines
}
