package httpserver

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Editor applies changes to the stored configuration.
type Editor interface {
	Edit(ctx context.Context, base identifier.Revision, change func(configurator.Document) configurator.Document) publisher.Result
}

// OperatorRoutes are the operators' routes for the configuration, presets and keys.
type OperatorRoutes struct {
	editor Editor
	config *configurator.Configurator
	pepper []byte
}

// NewOperatorRoutes returns routes that edit the configuration through editor. New keys are hashed with pepper.
func NewOperatorRoutes(editor Editor, config *configurator.Configurator, pepper []byte) *OperatorRoutes {
	return &OperatorRoutes{editor: editor, config: config, pepper: pepper}
}

// Register adds the routes to e.
func (o *OperatorRoutes) Register(e *echo.Echo) {
	e.GET("/v1/config", o.showConfig)
	e.PUT("/v1/config", o.replaceConfig)
	e.PUT("/v1/preset/:preset", o.switchPreset)
	e.POST("/v1/keys", o.createKey)
	e.DELETE("/v1/keys/:name", o.withdrawKey)
}

func (o *OperatorRoutes) showConfig(c echo.Context) error {
	return c.JSON(http.StatusOK, codec.FromDocument(o.config.Current()))
}

// replaceConfig stores the document of the body. The If-Match header names the revision that the edit is based on.
func (o *OperatorRoutes) replaceConfig(c echo.Context) error {
	base, err := strconv.ParseUint(strings.Trim(c.Request().Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return notRunProblem(http.StatusPreconditionRequired, "base-missing", "If-Match: want the revision that the edit is based on").write(c, 0)
	}
	var body codec.Document
	if p, ok := readJSON(c, &body, true); !ok {
		return p.write(c, 0)
	}
	doc, err := body.Document()
	if err != nil {
		return notRunProblem(http.StatusBadRequest, "bad-field", err.Error()).write(c, 0)
	}
	return o.writeResult(c, o.replaceIfUnchanged(c.Request().Context(), identifier.Revision(base), doc))
}

// invalidPreset fails the check of a document. A change function returns a document with it to abort the edit: nothing is
// stored and no revision is used up.
const invalidPreset configurator.Preset = "unchecked"

// replaceIfUnchanged stores doc if the current revision is base. The editor accepts any revision for base zero; here
// zero means the empty configuration, so that a first edit can't overwrite another first edit.
func (o *OperatorRoutes) replaceIfUnchanged(ctx context.Context, base identifier.Revision, doc configurator.Document) publisher.Result {
	conflicting := false
	result := o.editor.Edit(ctx, base, func(d configurator.Document) configurator.Document {
		if conflicting = d.Revision() != base; conflicting {
			return d.WithPreset(invalidPreset)
		}
		// A configuration that is kept in a file must not take a zone back.
		return doc.WithEvacuated(d.Evacuated())
	})
	if conflicting {
		result.Edit = configurator.Conflicting
	}
	return result
}

func (o *OperatorRoutes) switchPreset(c echo.Context) error {
	preset := configurator.Preset(c.Param("preset"))
	result := o.editor.Edit(c.Request().Context(), 0, func(d configurator.Document) configurator.Document {
		return d.WithPreset(preset)
	})
	return o.writeResult(c, result)
}

// keyBytes is the number of random bytes in a new key; 256 bits can't be guessed.
const keyBytes = 32

type keyRequest struct {
	Name identifier.Caller `json:"name"`
	Team identifier.Team   `json:"team"`
}

type keyReply struct {
	Name     identifier.Caller   `json:"name"`
	Team     identifier.Team     `json:"team"`
	Key      string              `json:"key"`
	Revision identifier.Revision `json:"revision"`
}

// createKey creates a key and returns it. Only its hash is stored, so it can't be shown again.
func (o *OperatorRoutes) createKey(c echo.Context) error {
	var req keyRequest
	if p, ok := readJSON(c, &req, true); !ok {
		return p.write(c, 0)
	}
	var secret [keyBytes]byte
	_, _ = rand.Read(secret[:])
	key := "mk-" + base64.RawURLEncoding.EncodeToString(secret[:])
	stored := configurator.Key{Caller: req.Name, Team: req.Team, Hash: authenticator.Hash(o.pepper, key)}
	taken := false
	result := o.editor.Edit(c.Request().Context(), 0, func(d configurator.Document) configurator.Document {
		for _, k := range d.Keys() {
			taken = taken || k.Caller == req.Name
		}
		if taken {
			return d.WithPreset(invalidPreset)
		}
		return d.WithKey(stored)
	})
	if taken {
		return notRunProblem(http.StatusConflict, "name-taken", "a key of this name exists or was withdrawn").write(c, 0)
	}
	if !result.Accepted() {
		return o.writeResult(c, result)
	}
	return c.JSON(http.StatusCreated, keyReply{Name: req.Name, Team: req.Team, Key: key, Revision: result.Document.Revision()})
}

func (o *OperatorRoutes) withdrawKey(c echo.Context) error {
	name := identifier.Caller(c.Param("name"))
	found := false
	result := o.editor.Edit(c.Request().Context(), 0, func(d configurator.Document) configurator.Document {
		for _, k := range d.Keys() {
			if k.Caller == name {
				found, k.Withdrawn = true, true
				return d.WithKey(k)
			}
		}
		return d.WithPreset(invalidPreset)
	})
	if !found && result.Edit == configurator.InvalidEdit {
		return notRunProblem(http.StatusNotFound, "no-such-key", "").write(c, 0)
	}
	return o.writeResult(c, result)
}

// writeResult writes the outcome of an edit: the new document or a problem.
func (o *OperatorRoutes) writeResult(c echo.Context, r publisher.Result) error {
	switch {
	case r.Accepted():
		return c.JSON(http.StatusOK, codec.FromDocument(r.Document))
	case r.Edit == configurator.Conflicting:
		return writeConflict(c, r.Document)
	case r.Edit == configurator.InvalidEdit:
		details := make([]string, 0, len(r.Problems))
		for _, p := range r.Problems {
			details = append(details, p.String())
		}
		return notRunProblem(http.StatusUnprocessableEntity, "bad-field", strings.Join(details, "; ")).write(c, 0)
	case r.Outcome == storer.Unknown:
		p := notRunProblem(http.StatusGatewayTimeout, "store-unknown", "the key-value service did not say whether the edit was stored")
		p.Type, p.Title = TypeUnknown, "The edit may have been accepted"
		return p.write(c, 0)
	default:
		return notRunProblem(http.StatusServiceUnavailable, "store-unavailable", "the key-value service is not available").write(c, storeRetryAfter)
	}
}
