package httpserver

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Guard admits only requests that carry the operators' bearer token. The health routes stay open, since balancers and
// metric collectors have no token.
type Guard struct {
	sum [sha256.Size]byte
}

// NewGuard returns a guard that admits token.
func NewGuard(token string) *Guard { return &Guard{sum: sha256.Sum256([]byte(token))} }

// Register puts the guard in front of every route of the server, whichever part adds it.
func (g *Guard) Register(e *echo.Echo) { e.Use(g.admit) }

func (g *Guard) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		switch c.Path() {
		case pathHealth, pathReady, pathMetrics:
			return next(c)
		}
		token, given := bearer(c.Request())
		if !given {
			return refused(http.StatusUnauthorized, "token-missing", "want an Authorization header with the operators' bearer token").write(c, 0)
		}
		// Sums of equal length are compared, so the time tells nothing about the token.
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], g.sum[:]) != 1 {
			return refused(http.StatusUnauthorized, "token-refused", "the operators' token is wrong").write(c, 0)
		}
		return next(c)
	}
}
