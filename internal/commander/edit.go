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

// current reads the configuration in force.
func (c *client) current(ctx context.Context) (configurator.Document, error) {
	var body codec.Document
	if err := c.get(ctx, pathConfig, &body); err != nil {
		return configurator.Document{}, err
	}
	doc, err := body.Document()
	if err != nil {
		return doc, &Failure{Code: Failed, Text: fmt.Sprintf("%s: %v", pathConfig, err)}
	}
	return doc, nil
}

// edit applies change to the current configuration and stores the result. The listing shows the changes.
func (c *client) edit(ctx context.Context, change func(configurator.Document) (configurator.Document, error)) (Listing, error) {
	current, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	edited, err := change(current)
	if err != nil {
		return Listing{}, err
	}
	return c.replace(ctx, current, edited, current.Revision())
}

// replace stores edited, which is based on revision base. before is the document that the client read; the listing shows
// the changes from it.
func (c *client) replace(ctx context.Context, before, edited configurator.Document, base identifier.Revision) (Listing, error) {
	changes := configurator.Diff(before, edited)
	if len(changes) == 0 && base == before.Revision() && base > 0 {
		return newEditListing(before, nil).WithNotes("no changes"), nil
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
		return newEditListing(stored, changes), nil
	case http.StatusConflict:
		return Listing{}, c.conflict(ctx, r, before, base)
	default:
		return Listing{}, r.failure(pathConfig)
	}
}

// conflict returns the failure for an edit that another one preceded. Its text lists what has changed since before.
func (c *client) conflict(ctx context.Context, r reply, before configurator.Document, base identifier.Revision) error {
	var refusal struct {
		Document codec.Document `json:"document"`
	}
	if err := r.decode(pathConfig, &refusal); err != nil {
		return err
	}
	current, err := refusal.Document.Document()
	if err != nil {
		return &Failure{Code: Failed, Text: fmt.Sprintf("%s: %v", pathConfig, err)}
	}
	// If the other edit won in the store, the reply holds the document from before that edit. The entry may have received
	// the later document by now.
	if later, err := c.current(ctx); err == nil && later.Revision() > current.Revision() {
		current = later
	}
	lines := append([]string{
		fmt.Sprintf("another edit came first: the edit is based on revision %d, revision %d is in force", base, current.Revision()),
		"changes since the configuration was read:",
	}, diffLines(configurator.Diff(before, current))...)
	return &Failure{Code: Conflict, Text: strings.Join(lines, "\n")}
}

// document decodes the configuration in the body.
func (r reply) document() (configurator.Document, error) {
	var body codec.Document
	if err := r.decode(pathConfig, &body); err != nil {
		return configurator.Document{}, err
	}
	doc, err := body.Document()
	if err != nil {
		return doc, &Failure{Code: Failed, Text: fmt.Sprintf("%s: %v", pathConfig, err)}
	}
	return doc, nil
}

// editResult is the JSON and YAML output of an accepted edit.
type editResult struct {
	Revision identifier.Revision `json:"revision"`
	Preset   configurator.Preset `json:"preset"`
	Changes  []string            `json:"changes"`
}

// newEditListing returns the listing for an accepted edit that led to d.
func newEditListing(d configurator.Document, changes []configurator.Change) Listing {
	lines := diffLines(changes)
	return Listing{}.
		WithNotes(lines...).
		WithNotes(fmt.Sprintf("revision %d is in force, preset %s", d.Revision(), d.Preset())).
		WithValue(editResult{Revision: d.Revision(), Preset: d.Preset(), Changes: lines})
}

// diffLines returns one line for each change, marked + if the field was added, - if it was removed, ~ if it differs.
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
