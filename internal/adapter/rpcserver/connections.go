package rpcserver

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.conns.Len() }
