package httpserver

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
)

// conflict is the problem of an edit that was made from an old revision. It holds the document in force, so that the
// operator can see what changed meanwhile.
type conflict struct {
	Problem

	Document codec.Document `json:"document"`
}

func writeConflict(c echo.Context, force configurator.Document) error {
	detail := fmt.Sprintf("another edit came first: revision %d is in force", force.Revision())
	data, err := json.Marshal(conflict{
		Problem: refused(http.StatusConflict, "conflict", detail), Document: codec.FromDocument(force),
	})
	if err != nil {
		panic("invariant problem-form: a problem can be encoded")
	}
	return c.Blob(http.StatusConflict, problemContentType, data)
}
