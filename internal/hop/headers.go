package hop

// ConnectionHeaders returns the names of the hop-by-hop headers: those that concern one
// connection only and are not forwarded. The Connection header of a message may name
// more.
func ConnectionHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}
