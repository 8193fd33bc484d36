package confiner

import "context"

type scopeKey struct{}

// WithScope returns a copy of ctx for a call that carries or reads bodies, or data derived from them, with the given scope.
func WithScope(ctx context.Context, s Scope) context.Context {
	if !s.Restricted() {
		return ctx
	}
	return context.WithValue(ctx, scopeKey{}, s)
}

// ScopeOf returns the scope of the bodies that a call carries or reads. It is unrestricted unless WithScope has set it.
func ScopeOf(ctx context.Context) Scope {
	s, _ := ctx.Value(scopeKey{}).(Scope)
	return s
}
