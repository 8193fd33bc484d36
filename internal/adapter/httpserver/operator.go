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

// Editor changes the stored configuration.
type Editor interface {
	Edit(ctx context.Context, base identifier.Revision, change func(configurator.Document) configurator.Document) publisher.Result
}

// OperatorRoutes is the interface for operators.
type OperatorRoutes struct {
	editor Editor
	config *configurator.Configurator
	pepper []byte
}

// NewOperatorRoutes returns the operators' routes. New keys are hashed under pepper.
func NewOperatorRoutes(editor Editor, config *configurator.Configurator, pepper []byte) *OperatorRoutes {
	return &OperatorRoutes{editor: editor, config: config, pepper: pepper}
}

// Register adds the operators' routes.
func (o *OperatorRoutes) Register(e *echo.Echo) {
	e.GET("/v1/config", o.show)
	e.PUT("/v1/config", o.replace)
	e.PUT("/v1/preset/:preset", o.switchPreset)
	e.POST("/v1/keys", o.createKey)
	e.DELETE("/v1/keys/:name", o.withdrawKey)
}

func (o *OperatorRoutes) show(c echo.Context) error {
	return c.JSON(http.StatusOK, codec.FromDocument(o.config.Current()))
}

// replace stores the document of the body. If-Match holds the revision that it was made from.
func (o *OperatorRoutes) replace(c echo.Context) error {
	base, err := strconv.ParseUint(strings.Trim(c.Request().Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return refused(http.StatusPreconditionRequired, "base-missing", "If-Match: want the revision that the edit was made from").write(c, 0)
	}
	var form codec.Document
	if p, ok := readJSON(c, &form, true); !ok {
		return p.write(c, 0)
	}
	doc, err := form.Document()
	if err != nil {
		return refused(http.StatusBadRequest, "bad-field", err.Error()).write(c, 0)
	}
	return o.answer(c, o.replaceFrom(c.Request().Context(), identifier.Revision(base), doc))
}

// unchecked is a preset that no check accepts: a change that returns it is not stored and takes no revision.
const unchecked configurator.Preset = "unchecked"

// replaceFrom stores doc, which was made from revision base. The editor takes base zero for any revision; here it
// stands for the empty configuration, so that a first edit can't overwrite another first edit.
func (o *OperatorRoutes) replaceFrom(ctx context.Context, base identifier.Revision, doc configurator.Document) publisher.Result {
	raced := false
	result := o.editor.Edit(ctx, base, func(d configurator.Document) configurator.Document {
		if raced = d.Revision() != base; raced {
			return d.WithPreset(unchecked)
		}
		return doc
	})
	if raced {
		result.Edit = configurator.Conflicting
	}
	return result
}

func (o *OperatorRoutes) switchPreset(c echo.Context) error {
	preset := configurator.Preset(c.Param("preset"))
	result := o.editor.Edit(c.Request().Context(), 0, func(d configurator.Document) configurator.Document {
		return d.WithPreset(preset)
	})
	return o.answer(c, result)
}

// keyBytes is the size of a new key; 256 bits can't be guessed.
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

// createKey makes a key and shows it this one time.
func (o *OperatorRoutes) createKey(c echo.Context) error {
	var q keyRequest
	if p, ok := readJSON(c, &q, true); !ok {
		return p.write(c, 0)
	}
	var secret [keyBytes]byte
	_, _ = rand.Read(secret[:])
	key := "mk-" + base64.RawURLEncoding.EncodeToString(secret[:])
	entry := configurator.Key{Caller: q.Name, Team: q.Team, Hash: authenticator.Hash(o.pepper, key)}
	taken := false
	result := o.editor.Edit(c.Request().Context(), 0, func(d configurator.Document) configurator.Document {
		for _, k := range d.Keys() {
			taken = taken || k.Caller == q.Name
		}
		if taken {
			return d.WithPreset(unchecked)
		}
		return d.WithKey(entry)
	})
	if taken {
		return refused(http.StatusConflict, "name-taken", "a key of this name exists or was withdrawn").write(c, 0)
	}
	if !result.Accepted() {
		return o.answer(c, result)
	}
	return c.JSON(http.StatusCreated, keyReply{Name: q.Name, Team: q.Team, Key: key, Revision: result.Document.Revision()})
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
		return d.WithPreset(unchecked)
	})
	if !found && result.Edit == configurator.Faulty {
		return refused(http.StatusNotFound, "no-such-key", "").write(c, 0)
	}
	return o.answer(c, result)
}

// answer maps the outcome of an edit to a status.
func (o *OperatorRoutes) answer(c echo.Context, r publisher.Result) error {
	switch {
	case r.Accepted():
		return c.JSON(http.StatusOK, codec.FromDocument(r.Document))
	case r.Edit == configurator.Conflicting:
		return writeConflict(c, r.Document)
	case r.Edit == configurator.Faulty:
		details := make([]string, 0, len(r.Problems))
		for _, p := range r.Problems {
			details = append(details, p.String())
		}
		return refused(http.StatusUnprocessableEntity, "bad-field", strings.Join(details, "; ")).write(c, 0)
	case r.Outcome == storer.Unknown:
		p := refused(http.StatusGatewayTimeout, "store-unknown", "the key-value service did not say whether the edit was stored")
		p.Type, p.Title = TypeUnknown, "The edit may have been accepted"
		return p.write(c, 0)
	default:
		return refused(http.StatusServiceUnavailable, "store-unavailable", "the key-value service is not available").write(c, storeRetry)
	}
}
