package httpserver

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
)

// conflictProblem is the problem for an edit that is based on an old revision. It includes the current document, so that the
// operator can see what changed in the meantime.
type conflictProblem struct {
	Problem

	Document codec.Document `json:"document"`
}

// writeConflict sends a conflict with the current document.
func writeConflict(c echo.Context, current configurator.Document) error {
	detail := fmt.Sprintf("another edit came first: revision %d is in force", current.Revision())
	data, err := json.Marshal(conflictProblem{
		Problem: notRunProblem(http.StatusConflict, "conflict", detail), Document: codec.FromDocument(current),
	})
	if err != nil {
		panic("invariant problem-form: every problem can be encoded as JSON")
	}
	return c.Blob(http.StatusConflict, problemContentType, data)
}
