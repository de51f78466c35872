package hop

// OwnHeaders are the names of the headers that concern one connection only and are
// not passed on, beside those that its Connection header names.
func OwnHeaders() []string {
	return []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}
