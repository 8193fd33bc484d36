package httpserver

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Guard is middleware that rejects requests without the operators' bearer token. The health and metrics routes are
// exempt, since load balancers and metric collectors have no token.
type Guard struct {
	sum [sha256.Size]byte
}

// NewGuard returns a guard that accepts token.
func NewGuard(token string) *Guard { return &Guard{sum: sha256.Sum256([]byte(token))} }

// Register adds the guard in front of all routes of e, including those that other route groups add.
func (g *Guard) Register(e *echo.Echo) { e.Use(g.admit) }

func (g *Guard) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		switch c.Path() {
		case pathHealth, pathReady, pathMetrics:
			return next(c)
		}
		token, given := bearerToken(c.Request())
		if !given {
			return notRunProblem(http.StatusUnauthorized, "token-missing", "want an Authorization header with the operators' bearer token").write(c, 0)
		}
		// Comparing hashes of equal length keeps the duration independent of the token and its length.
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], g.sum[:]) != 1 {
			return notRunProblem(http.StatusUnauthorized, "token-refused", "the operators' token is wrong").write(c, 0)
		}
		return next(c)
	}
}
